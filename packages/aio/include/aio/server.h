// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_AIO_SERVER_H_HEADER_GUARD
#define SEDGECART_AIO_SERVER_H_HEADER_GUARD

#include <cstdint>
#include <memory>
#include <string>

namespace boost::asio
{
class io_context;
} // namespace boost::asio

namespace sedgecart
{

class ServerHandlerI;

/// Accepts HTTP/1.1 connections on one loop and reads requests from them, one at a time each.
class Server
{
public:
	/// Binds and accepts.
	/// @param _address "ip:port".
	/// @remarks Throws std::exception when the address cannot be bound.
	Server(boost::asio::io_context& _loop, const std::string& _address, ServerHandlerI& _handler);
	~Server();

	Server(const Server&) = delete;
	Server& operator=(const Server&) = delete;

	/// @returns the port it listens on.
	uint16_t port() const;

	/// @returns connections whose caller has not acknowledged all of an answer yet: it may be lost with the VM. Loop
	/// thread.
	uint32_t delivering() const;

private:
	class Impl;
	std::shared_ptr<Impl> impl_;
};

} // namespace sedgecart

#endif // SEDGECART_AIO_SERVER_H_HEADER_GUARD

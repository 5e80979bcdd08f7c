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

/// HTTP/1.1 server on one loop. Reads requests from its connections, one at a time per connection.
class Server
{
public:
	/// Binds the address and starts to accept connections.
	/// @param _address "ip:port".
	/// @remarks Throws std::exception when the address cannot be bound.
	Server(boost::asio::io_context& _loop, const std::string& _address, ServerHandlerI& _handler);
	~Server();

	Server(const Server&) = delete;
	Server& operator=(const Server&) = delete;

	/// @returns the port that the server listens on.
	uint16_t port() const;

	/// @returns the number of connections whose caller has not acknowledged all of a response yet: those responses are
	/// lost if the VM ends now. Loop thread.
	uint32_t deliveringConnections() const;

	/// @returns true if a request is being received or handled, or a response is being delivered. Loop thread.
	bool isBusy() const;

	/// Closes the connections that are at rest, as `drain` does, and goes on to accept new ones. Loop thread.
	void closeAtRest();

	/// Closes the connections that are at rest: nothing has arrived that was not read, no request is being received or
	/// handled, and the caller has acknowledged all responses. Accepts those that wait, and none after them. A request
	/// that arrived before is thus read and answered, and one that arrives later meets a closed connection. To be
	/// called again until no connection is left. Loop thread.
	/// @returns the number of connections that are still open.
	uint32_t drain();

	/// Closes all connections; those with an incomplete response are reset. Loop thread, or once the loop has ended.
	void close();

private:
	class Impl;
	std::shared_ptr<Impl> impl_;
};

} // namespace sedgecart

#endif // SEDGECART_AIO_SERVER_H_HEADER_GUARD

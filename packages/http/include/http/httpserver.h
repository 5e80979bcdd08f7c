// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_HTTP_HTTPSERVER_H_HEADER_GUARD
#define SEDGECART_HTTP_HTTPSERVER_H_HEADER_GUARD

#include <http/endpoint.h>

#include <cstddef>
#include <memory>

namespace sedgecart
{

class HttpHandlerI;

/// Bounds of a server.
struct HttpServerLimits
{
	std::size_t maxBodyBytes = 1024 * 1024;
	unsigned minThreads = 8;
	unsigned maxThreads = 1024; //!< Each request holds one thread until it is answered.
	int readTimeoutMs = 5000;   //!< A sender must finish its header or body piece within this.
	int writeTimeoutMs = 5000;  //!< A caller that does not read for this long counts as gone.
	int keepAliveTimeoutMs = 20000;
};

/// HTTP server by cxxtools::http.
class HttpServer
{
public:
	/// Listens and serves from threads of its own.
	/// @remarks Throws std::exception when the address cannot be bound.
	HttpServer(const Endpoint& _endpoint, HttpHandlerI& _handler, const HttpServerLimits& _limits);
	/// Stops: no new connections, then waits for requests in flight.
	~HttpServer();

	/// From here on each answer ends its connection, as its header says, so that few callers meet the server's end over
	/// a connection that they keep.
	void closeAfterAnswers();

	HttpServer(const HttpServer&) = delete;
	HttpServer& operator=(const HttpServer&) = delete;

private:
	class Impl;
	std::unique_ptr<Impl> impl_;
};

} // namespace sedgecart

#endif // SEDGECART_HTTP_HTTPSERVER_H_HEADER_GUARD

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_AIO_SERVERCONNECTION_H_HEADER_GUARD
#define SEDGECART_AIO_SERVERCONNECTION_H_HEADER_GUARD

#include <aio/messagereader.h>
#include <base/units.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace sedgecart
{

class BodyLease;
class BodyMemory;

/// A request that has been read completely.
struct ServerRequest
{
	MessageHead head;
	std::string body;
	std::shared_ptr<const BodyLease> lease; //!< Memory of the body; null if it is small.
};

/// How a response's body is framed.
struct BodyFraming
{
	enum Enum
	{
		Length,  //!< The length is known in advance and sent as Content-Length.
		Chunked, //!< The body is sent with chunked transfer encoding.

		Count
	};
};

/// Start line and headers of a response.
struct ResponseStart
{
	uint16_t status = 200;
	HeaderList headers; //!< Without framing and connection fields, which are added when it is sent.
	BodyFraming::Enum framing = BodyFraming::Length;
	uint64_t length = 0;     //!< Of the body, bytes; used with BodyFraming::Length.
	bool noBody = false;     //!< The request was a HEAD: no body is sent, regardless of the framing.
	bool closeAfter = false; //!< The connection is closed after this response.
};

/// Connection to a caller, through which the handler responds. Calls after the caller has disconnected do nothing.
class ServerConnection
{
public:
	virtual ~ServerConnection() = default;

	/// Sends start line, headers and the first bytes of the body in one write.
	virtual void start(const ResponseStart& _start, std::string_view _body) = 0;

	/// Sends more bytes of the body.
	virtual void send(std::string_view _body) = 0;

	/// Completes the response; the next request of the connection may be handled then.
	virtual void finish() = 0;

	/// Resets the connection, so that the caller cannot take the response for complete.
	virtual void abort() = 0;

	/// @returns the number of bytes that the socket has not accepted yet.
	virtual std::size_t backlog() const = 0;
};

/// Callbacks of a server's connections, on the thread of their loop.
class ServerHandlerI
{
public:
	virtual ~ServerHandlerI() = default;

	/// A request has been read. The connection handles no other request until `finish` or `abort` is called.
	virtual void onRequest(const std::shared_ptr<ServerConnection>& _connection, ServerRequest&& _request) = 0;

	/// The caller disconnected before its response was complete.
	virtual void onCallerDisconnected(const ServerConnection& _connection) = 0;

	/// The received bytes are not an acceptable request.
	/// @returns the status of the response; the connection is closed after it.
	virtual uint16_t onBadRequest(ReadState::Enum _reason) = 0;

	/// @returns what bounds the memory of bodies; null: nothing.
	virtual BodyMemory* bodyMemory()
	{
		return nullptr;
	}

	/// There is no memory for the body of a request, which was not read. The handler responds to it.
	virtual void onNoBodyMemory(const std::shared_ptr<ServerConnection>& _connection, const MessageHead& /*_head*/)
	{
		_connection->abort();
	}

	/// @returns the maximum number of connections. One more closes those that have been silent for longest.
	virtual std::size_t maxConnections() const
	{
		return SIZE_MAX;
	}

	/// Connections were closed before anything was read from them, since the server gets more than it can read.
	virtual void onClosedUnread(uint32_t _count) = 0;

	/// Connections on which no request was being handled were closed, to make room for others.
	virtual void onEvicted(uint32_t /*_count*/)
	{
	}

	/// @returns the size limits that apply to the next request.
	virtual ReaderLimits limits() const = 0;

	/// @returns the maximum time in which a request must be received.
	virtual Duration readTimeout() const = 0;

	/// @returns how long a connection may be idle between requests.
	virtual Duration idleTimeout() const = 0;

	/// @returns true if connections are to be closed after the current response.
	virtual bool closing() const = 0;
};

} // namespace sedgecart

#endif // SEDGECART_AIO_SERVERCONNECTION_H_HEADER_GUARD

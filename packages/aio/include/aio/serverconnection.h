// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_AIO_SERVERCONNECTION_H_HEADER_GUARD
#define SEDGECART_AIO_SERVERCONNECTION_H_HEADER_GUARD

#include <aio/messagereader.h>
#include <base/units.h>

#include <memory>
#include <string>
#include <string_view>

namespace sedgecart
{

/// One request as it was read, whole.
struct ServerRequest
{
	MessageHead head;
	std::string body;
};

/// How an answer's body is framed.
struct BodyFraming
{
	enum Enum
	{
		Length,  //!< Its whole length is known.
		Chunked, //!< It goes out piece by piece.

		Count
	};
};

/// Start line and headers of an answer.
struct AnswerStart
{
	uint16_t status = 200;
	HeaderList headers; //!< Without framing and connection fields; those are added.
	BodyFraming::Enum framing = BodyFraming::Length;
	uint64_t length = 0; //!< With Length.
	bool noBody = false; //!< The request was a HEAD: no body follows, whatever the framing says.
	bool lastOnConnection = false;
};

/// A caller's side of one exchange. Calls after the caller has gone do nothing.
class ServerConnection
{
public:
	virtual ~ServerConnection() = default;

	/// Sends start line, headers and the first part of the body in one write.
	virtual void start(const AnswerStart& _start, std::string_view _body) = 0;

	/// Sends a part of the body.
	virtual void send(std::string_view _body) = 0;

	/// The answer is complete; the next request may come.
	virtual void finish() = 0;

	/// Ends the connection so that the answer cannot be taken for complete.
	virtual void abort() = 0;

	/// @returns bytes that the caller has not taken yet.
	virtual std::size_t backlog() const = 0;
};

/// What callers' connections call on their loop's thread.
class ServerHandlerI
{
public:
	virtual ~ServerHandlerI() = default;

	/// A request has been read. The connection waits until `finish` or `abort` is called.
	virtual void onRequest(const std::shared_ptr<ServerConnection>& _connection, ServerRequest&& _request) = 0;

	/// The caller has gone before its answer was complete.
	virtual void onCallerGone(const ServerConnection& _connection) = 0;

	/// These bytes were no acceptable request. @returns the answer's status; the connection is closed behind it.
	virtual uint16_t onBadRequest(ReadState::Enum _why) = 0;

	/// @returns the bounds of the moment for a new request.
	virtual ReaderLimits limits() const = 0;

	/// @returns for how long a request's bytes may take to come.
	virtual Duration readBound() const = 0;

	/// @returns for how long a connection may rest between requests.
	virtual Duration idleBound() const = 0;

	/// @returns true if connections are to be closed after the answer under way.
	virtual bool closing() const = 0;
};

} // namespace sedgecart

#endif // SEDGECART_AIO_SERVERCONNECTION_H_HEADER_GUARD

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_HTTP_HTTPCLIENT_H_HEADER_GUARD
#define SEDGECART_HTTP_HTTPCLIENT_H_HEADER_GUARD

#include <base/units.h>
#include <http/endpoint.h>
#include <http/httpreply.h>

#include <memory>
#include <string>
#include <vector>

namespace sedgecart
{

class Cancellation;

/// A request to be sent.
struct HttpCall
{
	std::string method = "GET";
	std::string target = "/"; //!< Path and query.
	std::string contentType = "application/json";
	std::string body;
	std::vector<HttpHeader> headers;
};

/// How far a call came.
struct CallState
{
	enum Enum
	{
		NotSent, //!< No connection, so no byte reached the server.
		Sent,    //!< At least a byte may have reached the server, no whole reply came.
		Replied, //!< A whole reply (or the header of a stream) came.

		Count
	};
};

/// What came of a call.
struct HttpOutcome
{
	CallState::Enum state = CallState::NotSent;
	HttpReply reply;    //!< When `Replied`.
	std::string detail; //!< Otherwise, what went wrong.
};

/// What came of waiting for a piece of a stream.
struct StreamRead
{
	enum Enum
	{
		Data,    //!< An event came.
		End,     //!< The server ended the stream in order.
		Timeout, //!< Nothing came in time; the stream cannot be read further.
		Broken,  //!< The connection broke.

		Count
	};
};

/// One HTTP connection to one server, by Boost.Beast. Blocking, with a bound on each step. Belongs to one thread.
/// @remarks cxxtools::http::Client reads whole bodies only and bounds headers at 4096 bytes: see docs/design/http.md.
class HttpClient
{
public:
	/// @param _cancellation ends each step as if the connection broke, once it is cancelled; outlives the client.
	explicit HttpClient(const Endpoint& _endpoint, const Cancellation* _cancellation = nullptr);
	~HttpClient();

	HttpClient(const HttpClient&) = delete;
	HttpClient& operator=(const HttpClient&) = delete;

	/// Sends a call and reads the whole reply. Connects if need be; a kept connection that turns out dead is
	/// reported as `Sent`, never tried again.
	/// @param _timeout bound on the whole call.
	HttpOutcome call(const HttpCall& _call, Duration _timeout);

	/// Sends a call and reads the reply's header. If the reply is no event stream its body is read too.
	HttpOutcome openStream(const HttpCall& _call, Duration _timeout);

	/// Waits for the next event of the opened stream.
	/// @param _data set to the text after "data: ".
	StreamRead::Enum next(Duration _timeout, std::string& _data);

	/// @returns true if the opened reply is an event stream.
	bool streaming() const;

	/// @returns true if the connection is open and a further call may reuse it.
	bool reusable() const;

	/// Closes the connection; the server sees it as a caller that went away.
	void close();

private:
	class Impl;
	std::unique_ptr<Impl> impl_;
};

} // namespace sedgecart

#endif // SEDGECART_HTTP_HTTPCLIENT_H_HEADER_GUARD

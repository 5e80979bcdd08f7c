// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_HTTP_HTTPEXCHANGE_H_HEADER_GUARD
#define SEDGECART_HTTP_HTTPEXCHANGE_H_HEADER_GUARD

#include <string>

namespace sedgecart
{

struct HttpReply;

/// One request that arrived, and the means to answer it: either one whole reply, or a stream of chunks.
/// Belongs to one thread.
class HttpExchangeI
{
public:
	virtual ~HttpExchangeI() = default;

	/// @returns the method, such as "POST".
	virtual std::string method() const = 0;
	/// @returns the path without the query.
	virtual std::string path() const = 0;
	/// @returns the query after the question mark, may be empty.
	virtual std::string query() const = 0;
	/// @param _name header, in any case.
	/// @returns its value, empty if it is absent.
	virtual std::string header(const std::string& _name) const = 0;
	/// @returns the body.
	virtual std::string body() const = 0;

	/// Sends a whole reply. At most once, and not after `beginStream`.
	virtual void reply(const HttpReply& _reply) = 0;
	/// Sends status and headers of a stream; the body of `_reply` is not used.
	/// @returns false if the caller is gone.
	virtual bool beginStream(const HttpReply& _reply) = 0;
	/// Sends one chunk at once.
	/// @returns false if the caller is gone or stopped reading.
	virtual bool write(const std::string& _chunk) = 0;
	/// Ends the stream as whole.
	virtual void endStream() = 0;
	/// Ends the connection without the last chunk, so that nobody takes the stream for whole.
	virtual void abortStream() = 0;
	/// @returns true once `reply` or `beginStream` was called.
	virtual bool answered() const = 0;
};

} // namespace sedgecart

#endif // SEDGECART_HTTP_HTTPEXCHANGE_H_HEADER_GUARD

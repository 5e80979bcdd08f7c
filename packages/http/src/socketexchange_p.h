// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_HTTP_SOCKETEXCHANGE_P_H_HEADER_GUARD
#define SEDGECART_HTTP_SOCKETEXCHANGE_P_H_HEADER_GUARD

#include <http/httpexchange.h>

#include <string>

namespace cxxtools
{
namespace http
{
class Reply;
class Request;
} // namespace http
namespace net
{
class TcpSocket;
} // namespace net
} // namespace cxxtools

namespace sedgecart
{

/// An exchange over a cxxtools request. Whole replies go through cxxtools; streams are written to the socket, because
/// cxxtools::http::Reply leaves only as a whole.
class SocketExchange : public HttpExchangeI
{
public:
	/// @param _reply null when cxxtools has not yet read the body; whole replies then go to the socket as well.
	SocketExchange(cxxtools::net::TcpSocket& _socket, const cxxtools::http::Request& _request,
	               cxxtools::http::Reply* _reply, std::string _body);

	std::string method() const override;
	std::string path() const override;
	std::string query() const override;
	std::string header(const std::string& _name) const override;
	std::string body() const override;
	void reply(const HttpReply& _reply) override;
	bool beginStream(const HttpReply& _reply) override;
	bool write(const std::string& _chunk) override;
	void endStream() override;
	void abortStream() override;
	bool answered() const override;

private:
	bool send(const std::string& _bytes);
	void sendWhole(const HttpReply& _reply);
	void closeSocket();

	cxxtools::net::TcpSocket& socket_;
	const cxxtools::http::Request& request_;
	cxxtools::http::Reply* reply_;
	std::string body_;
	bool answered_ = false;
	bool broken_ = false;
};

} // namespace sedgecart

#endif // SEDGECART_HTTP_SOCKETEXCHANGE_P_H_HEADER_GUARD

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "socketexchange_p.h"

#include <http/httpreply.h>

#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/net/tcpsocket.h>

#include <sys/socket.h>

#include <cstdio>
#include <utility>

namespace sedgecart
{

namespace
{

const char* reasonOf(uint16_t _status)
{
	return _status < 400 ? "OK" : "Error";
}

std::string headerBlock(const HttpReply& _reply, const std::string& _framing)
{
	std::string block = "HTTP/1.1 " + std::to_string(_reply.status) + " " + reasonOf(_reply.status) + "\r\n";
	block += "Content-Type: " + _reply.contentType + "\r\n" + _framing + "Connection: close\r\n";
	for (const HttpHeader& header : _reply.headers)
	{
		block += header.name + ": " + header.value + "\r\n";
	}
	return block + "\r\n";
}

} // namespace

SocketExchange::SocketExchange(cxxtools::net::TcpSocket& _socket, const cxxtools::http::Request& _request,
                               cxxtools::http::Reply* _reply, std::string _body)
    : socket_(_socket),
      request_(_request),
      reply_(_reply),
      body_(std::move(_body))
{
}

std::string SocketExchange::method() const
{
	return request_.method();
}

std::string SocketExchange::path() const
{
	return request_.url();
}

std::string SocketExchange::query() const
{
	return request_.qparams();
}

std::string SocketExchange::header(const std::string& _name) const
{
	const char* const value = request_.getHeader(_name.c_str());
	return nullptr == value ? std::string() : std::string(value);
}

std::string SocketExchange::body() const
{
	return body_;
}

void SocketExchange::reply(const HttpReply& _reply)
{
	answered_ = true;
	if (nullptr == reply_)
	{
		sendWhole(_reply);
		return;
	}
	reply_->httpReturn(_reply.status, reasonOf(_reply.status));
	reply_->setHeader("Content-Type", _reply.contentType.c_str());
	for (const HttpHeader& header : _reply.headers)
	{
		reply_->setHeader(header.name.c_str(), header.value.c_str());
	}
	reply_->bodyStream() << _reply.body;
}

void SocketExchange::sendWhole(const HttpReply& _reply)
{
	const std::string length = "Content-Length: " + std::to_string(_reply.body.size()) + "\r\n";
	send(headerBlock(_reply, length) + _reply.body);
	closeSocket();
}

bool SocketExchange::beginStream(const HttpReply& _reply)
{
	answered_ = true;
	return send(headerBlock(_reply, "Transfer-Encoding: chunked\r\nCache-Control: no-store\r\n"));
}

bool SocketExchange::write(const std::string& _chunk)
{
	char size[24];
	std::snprintf(size, sizeof(size), "%zx\r\n", _chunk.size());
	return send(size + _chunk + "\r\n");
}

void SocketExchange::endStream()
{
	send("0\r\n\r\n");
	closeSocket();
}

void SocketExchange::abortStream()
{
	closeSocket();
}

bool SocketExchange::answered() const
{
	return answered_;
}

bool SocketExchange::send(const std::string& _bytes)
{
	std::size_t sent = 0;
	while (!broken_ && sent < _bytes.size())
	{
		try
		{
			sent += socket_.write(_bytes.data() + sent, _bytes.size() - sent);
		}
		catch (const std::exception&)
		{
			broken_ = true;
		}
	}
	return !broken_;
}

void SocketExchange::closeSocket()
{
	broken_ = true;
	try
	{
		// Without the shutdown, unread bytes of the request would turn the close into a reset that eats the reply.
		::shutdown(socket_.getFd(), SHUT_WR);
		socket_.close();
	}
	catch (const std::exception&)
	{
		// The other end closed first; there is nothing left to close.
	}
}

} // namespace sedgecart

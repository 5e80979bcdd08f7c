// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <http/httpserver.h>

#include "socketexchange_p.h"

#include <http/httphandler.h>
#include <http/httpreply.h>

#include <cxxtools/eventloop.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/http/responder.h>
#include <cxxtools/http/server.h>
#include <cxxtools/http/service.h>
#include <cxxtools/net/tcpsocket.h>
#include <cxxtools/regex.h>

#include <atomic>
#include <thread>

namespace sedgecart
{

namespace
{

/// A body up to this many times the bound is read to its end, unkept, so that its sender is there to read the answer;
/// for a larger one the connection is closed behind the answer.
constexpr std::size_t kReadOver = 16;

/// Hands one request from cxxtools to the handler.
class HandlerResponder : public cxxtools::http::Responder
{
public:
	HandlerResponder(cxxtools::http::Service& _owner, HttpHandlerI& _handler, std::size_t _maxBodyBytes,
	                 const std::atomic<bool>& _closing)
	    : cxxtools::http::Responder(_owner),
	      handler_(_handler),
	      maxBodyBytes_(_maxBodyBytes),
	      closing_(_closing)
	{
	}

	void beginRequest(cxxtools::net::TcpSocket& _socket, std::istream& _in, cxxtools::http::Request& _incoming) override
	{
		socket_ = &_socket;
		body_.clear();
		cxxtools::http::Responder::beginRequest(_socket, _in, _incoming);
		tooLarge_ = maxBodyBytes_ < _incoming.header().contentLength();
		if (maxBodyBytes_ * kReadOver < _incoming.header().contentLength())
		{
			SocketExchange exchange(*socket_, _incoming, nullptr, std::string());
			handler_.handleTooLarge(exchange);
		}
	}

	std::size_t readBody(std::istream& _in) override
	{
		char buffer[8192];
		const std::streamsize count = _in.readsome(buffer, sizeof(buffer));
		if (0 < count && body_.size() <= maxBodyBytes_)
		{
			body_.append(buffer, static_cast<std::size_t>(count));
		}
		return 0 < count ? static_cast<std::size_t>(count) : 0;
	}

	void reply(std::ostream& /*_out*/, cxxtools::http::Request& _incoming, cxxtools::http::Reply& _reply) override
	{
		if (closing_)
		{
			_reply.setHeader("Connection", "close");
		}
		SocketExchange exchange(*socket_, _incoming, &_reply, std::move(body_));
		if (tooLarge_)
		{
			handler_.handleTooLarge(exchange);
			return;
		}
		handler_.handle(exchange);
	}

private:
	HttpHandlerI& handler_;
	std::size_t maxBodyBytes_;
	const std::atomic<bool>& closing_;
	cxxtools::net::TcpSocket* socket_ = nullptr;
	std::string body_;
	bool tooLarge_ = false;
};

/// Makes a responder for each request.
class HandlerService : public cxxtools::http::Service
{
public:
	HandlerService(HttpHandlerI& _handler, std::size_t _maxBodyBytes) : handler_(_handler), maxBodyBytes_(_maxBodyBytes)
	{
	}

	void closeAfterAnswers()
	{
		closing_ = true;
	}

protected:
	cxxtools::http::Responder* createResponder(const cxxtools::http::Request& /*_request*/) override
	{
		return new HandlerResponder(*this, handler_, maxBodyBytes_, closing_);
	}

	void releaseResponder(cxxtools::http::Responder* _responder) override
	{
		delete _responder;
	}

private:
	HttpHandlerI& handler_;
	std::size_t maxBodyBytes_;
	std::atomic<bool> closing_{false};
};

} // namespace

class HttpServer::Impl
{
public:
	Impl(const Endpoint& _endpoint, HttpHandlerI& _handler, const HttpServerLimits& _limits)
	    : service_(_handler, _limits.maxBodyBytes),
	      server_(loop_, _endpoint.ip, _endpoint.port)
	{
		server_.minThreads(_limits.minThreads);
		server_.maxThreads(_limits.maxThreads);
		server_.readTimeout(cxxtools::Milliseconds(_limits.readTimeoutMs));
		server_.writeTimeout(cxxtools::Milliseconds(_limits.writeTimeoutMs));
		server_.keepAliveTimeout(cxxtools::Milliseconds(_limits.keepAliveTimeoutMs));
		server_.addService(cxxtools::Regex(".*"), service_);
		thread_ = std::thread(
		    [this]
		    {
			    loop_.run();
		    });
	}

	~Impl()
	{
		loop_.exit();
		thread_.join();
	}

	void closeAfterAnswers()
	{
		service_.closeAfterAnswers();
	}

	Impl(const Impl&) = delete;
	Impl& operator=(const Impl&) = delete;

private:
	HandlerService service_;
	cxxtools::EventLoop loop_;
	cxxtools::http::Server server_;
	std::thread thread_;
};

HttpServer::HttpServer(const Endpoint& _endpoint, HttpHandlerI& _handler, const HttpServerLimits& _limits)
    : impl_(std::make_unique<Impl>(_endpoint, _handler, _limits))
{
}

HttpServer::~HttpServer() = default;

void HttpServer::closeAfterAnswers()
{
	impl_->closeAfterAnswers();
}

} // namespace sedgecart

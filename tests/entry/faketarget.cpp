// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "faketarget.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <utility>

namespace sedgecart
{

FakeTarget::FakeTarget(TargetScript _script)
    : guard_(loop_.get_executor()),
      script_(std::move(_script)),
      server_(std::make_unique<Server>(loop_, "127.0.0.1:0", *this)),
      thread_(
          [this]
          {
	          loop_.run();
          })
{
}

FakeTarget::~FakeTarget()
{
	loop_.stop();
	thread_.join();
	server_.reset();
}

std::string FakeTarget::address() const
{
	return "127.0.0.1:" + std::to_string(server_->port());
}

std::vector<ServerRequest> FakeTarget::requests() const
{
	const std::lock_guard<std::mutex> lock(mutex_);
	return requests_;
}

uint32_t FakeTarget::gone() const
{
	return gone_.load();
}

void FakeTarget::post(std::function<void()> _call)
{
	boost::asio::post(loop_, std::move(_call));
}

void FakeTarget::postAfter(std::chrono::milliseconds _wait, std::function<void()> _call)
{
	const auto timer = std::make_shared<boost::asio::steady_timer>(loop_, _wait);
	timer->async_wait(
	    [timer, call = std::move(_call)](const boost::system::error_code& _error)
	    {
		    if (!_error)
		    {
			    call();
		    }
	    });
}

void FakeTarget::onRequest(const std::shared_ptr<ServerConnection>& _connection, ServerRequest&& _request)
{
	{
		const std::lock_guard<std::mutex> lock(mutex_);
		requests_.push_back(_request);
	}
	script_(_connection, _request);
}

void FakeTarget::onCallerDisconnected(const ServerConnection&)
{
	++gone_;
}

void FakeTarget::onClosedUnread(uint32_t)
{
}

uint16_t FakeTarget::onBadRequest(ReadState::Enum)
{
	return 400;
}

ReaderLimits FakeTarget::limits() const
{
	return ReaderLimits{};
}

Duration FakeTarget::readTimeout() const
{
	return Duration::fromMillis(10000);
}

Duration FakeTarget::idleTimeout() const
{
	return Duration::fromMillis(60000);
}

bool FakeTarget::closing() const
{
	return false;
}

HeaderList signedHeaders(const ServerRequest& _request)
{
	HeaderList headers;
	const std::string* const id = _request.head.headers.find("Attempt-Id");
	headers.add("Attempt-Id", nullptr == id ? "" : *id);
	headers.add("Response-Stamp", "stamp");
	return headers;
}

void answerWhole(ServerConnection& _caller, const ServerRequest& _request, uint16_t _status, const std::string& _body)
{
	ResponseStart start;
	start.status = _status;
	start.headers = signedHeaders(_request);
	start.length = _body.size();
	_caller.start(start, _body);
	_caller.finish();
}

void answerNotRun(ServerConnection& _caller, const ServerRequest& _request, const std::string& _atFault)
{
	ResponseStart start;
	start.status = 503;
	start.headers = signedHeaders(_request);
	start.headers.add("Not-Executed", "1");
	if (!_atFault.empty())
	{
		start.headers.add("At-Server", _atFault);
	}
	_caller.start(start, std::string_view());
	_caller.finish();
}

void startStream(ServerConnection& _caller, const ServerRequest& _request, uint64_t _first, uint64_t _last)
{
	ResponseStart start;
	start.headers = signedHeaders(_request);
	start.framing = BodyFraming::Chunked;
	std::string body;
	for (uint64_t id = _first; id <= _last; ++id)
	{
		body += eventText(id);
	}
	_caller.start(start, body);
}

std::string eventText(uint64_t _id)
{
	return "id: " + std::to_string(_id) + "\ndata: piece\n\n";
}

} // namespace sedgecart

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "targetlink.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <future>
#include <optional>
#include <thread>
#include <vector>

namespace sedgecart
{

namespace
{

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

constexpr std::size_t kBufferBytes = 16384;

/// Connections that fill the queue of a listener with a backlog of 0: the kernel drops the handshakes of further ones.
constexpr std::size_t kFillers = 4;

Tcp::endpoint endpointOf(const std::string& _address)
{
	const std::size_t colon = _address.rfind(':');
	return Tcp::endpoint(asio::ip::make_address(_address.substr(0, colon)),
	                     static_cast<uint16_t>(std::stoi(_address.substr(colon + 1))));
}

/// A connection of the node together with the one to the target.
class LinkedPair : public std::enable_shared_from_this<LinkedPair>
{
public:
	LinkedPair(asio::io_context& _loop, Tcp::socket _node) : node_(std::move(_node)), target_(_loop)
	{
	}

	void start(const Tcp::endpoint& _target)
	{
		target_.async_connect(_target,
		                      [self = shared_from_this()](const boost::system::error_code& _error)
		                      {
			                      if (_error)
			                      {
				                      self->reset();
				                      return;
			                      }
			                      self->forward(self->node_, self->target_, self->toTarget_);
			                      self->forward(self->target_, self->node_, self->toNode_);
		                      });
	}

	void hold()
	{
		isHeld_ = true;
	}

	bool isHeld() const
	{
		return isHeld_;
	}

	void reset()
	{
		for (Tcp::socket* const socket : {&node_, &target_})
		{
			boost::system::error_code ignored; // it may have ended already
			socket->set_option(asio::socket_base::linger(true, 0), ignored);
			socket->close(ignored);
		}
	}

private:
	using Buffer = std::array<char, kBufferBytes>;

	void forward(Tcp::socket& _from, Tcp::socket& _to, Buffer& _buffer)
	{
		_from.async_read_some(
		    asio::buffer(_buffer),
		    [self = shared_from_this(), &_from, &_to, &_buffer](const boost::system::error_code& _error,
		                                                        std::size_t _size)
		    {
			    if (self->isHeld_)
			    {
				    return;
			    }
			    if (_error)
			    {
				    self->reset();
				    return;
			    }
			    asio::async_write(_to, asio::buffer(_buffer.data(), _size),
			                      [self, &_from, &_to, &_buffer](const boost::system::error_code& _failed, std::size_t)
			                      {
				                      _failed ? self->reset() : self->forward(_from, _to, _buffer);
			                      });
		    });
	}

	Tcp::socket node_;
	Tcp::socket target_;
	Buffer toTarget_{};
	Buffer toNode_{};
	bool isHeld_ = false;
};

} // namespace

class TargetLink::Impl
{
public:
	explicit Impl(const std::string& _target) : target_(endpointOf(_target)), guard_(loop_.get_executor())
	{
		listen(asio::socket_base::max_listen_connections);
		endpoint_ = acceptor_->local_endpoint();
		accept();
		thread_ = std::thread(
		    [this]
		    {
			    loop_.run();
		    });
	}

	~Impl()
	{
		loop_.stop();
		thread_.join();
	}

	std::string address() const
	{
		return "127.0.0.1:" + std::to_string(endpoint_.port());
	}

	void set(LinkCut::Enum _cut)
	{
		std::promise<void> done;
		asio::post(loop_,
		           [this, _cut, &done]
		           {
			           apply(_cut);
			           done.set_value();
		           });
		done.get_future().wait();
	}

private:
	void apply(LinkCut::Enum _cut)
	{
		acceptor_.reset();
		fillers_.clear();
		for (const std::shared_ptr<LinkedPair>& pair : pairs_)
		{
			if (LinkCut::Refused == _cut || pair->isHeld())
			{
				pair->reset();
			}
			else if (LinkCut::Hanging == _cut)
			{
				pair->hold();
			}
		}
		if (LinkCut::None == _cut)
		{
			listen(asio::socket_base::max_listen_connections);
			accept();
		}
		else if (LinkCut::Hanging == _cut)
		{
			listen(0);
			fillQueue();
		}
	}

	void listen(int _backlog)
	{
		acceptor_.emplace(loop_, Tcp::v4());
		acceptor_->set_option(Tcp::acceptor::reuse_address(true));
		acceptor_->bind(0 == endpoint_.port() ? endpointOf("127.0.0.1:0") : endpoint_);
		acceptor_->listen(_backlog);
	}

	void fillQueue()
	{
		for (std::size_t filler = 0; filler < kFillers; ++filler)
		{
			fillers_.push_back(std::make_unique<Tcp::socket>(loop_));
			fillers_.back()->async_connect(endpoint_, [](const boost::system::error_code&) {});
		}
	}

	void accept()
	{
		acceptor_->async_accept(
		    [this](const boost::system::error_code& _error, Tcp::socket _socket)
		    {
			    if (_error)
			    {
				    return;
			    }
			    pairs_.push_back(std::make_shared<LinkedPair>(loop_, std::move(_socket)));
			    pairs_.back()->start(target_);
			    accept();
		    });
	}

	Tcp::endpoint target_;
	Tcp::endpoint endpoint_;
	asio::io_context loop_;
	asio::executor_work_guard<asio::io_context::executor_type> guard_;
	std::optional<Tcp::acceptor> acceptor_;
	std::vector<std::shared_ptr<LinkedPair>> pairs_;
	std::vector<std::unique_ptr<Tcp::socket>> fillers_;
	std::thread thread_;
};

TargetLink::TargetLink(const std::string& _target) : impl_(std::make_unique<Impl>(_target))
{
}

TargetLink::~TargetLink() = default;

std::string TargetLink::address() const
{
	return impl_->address();
}

void TargetLink::set(LinkCut::Enum _cut)
{
	impl_->set(_cut);
}

} // namespace sedgecart

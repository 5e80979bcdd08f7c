// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <aio/connectprobe.h>

#include "tcpendpoint_p.h"

#include <aio/timer.h>

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <memory>

namespace sedgecart
{

namespace
{

/// One attempt. Lives until the connection is established, has failed or has timed out.
class ConnectAttempt : public std::enable_shared_from_this<ConnectAttempt>
{
public:
	ConnectAttempt(boost::asio::io_context& _loop, std::function<void(bool)> _callback)
	    : socket_(_loop),
	      timer_(_loop),
	      callback_(std::move(_callback))
	{
	}

	void start(const std::string& _address, Duration _timeout)
	{
		timer_.expires_after(std::chrono::microseconds(_timeout.micros));
		timer_.async_wait(
		    [self = shared_from_this()](const boost::system::error_code& _error)
		    {
			    if (!_error)
			    {
				    self->finish(false);
			    }
		    });
		socket_.async_connect(tcpEndpointOf(_address),
		                      [self = shared_from_this()](const boost::system::error_code& _error)
		                      {
			                      self->finish(!_error);
		                      });
	}

private:
	void finish(bool _connected)
	{
		if (!callback_)
		{
			return;
		}
		timer_.cancel();
		boost::system::error_code ignored; // the socket is not used any more
		socket_.close(ignored);
		const std::function<void(bool)> callback = std::move(callback_);
		callback_ = nullptr;
		callback(_connected);
	}

	boost::asio::ip::tcp::socket socket_;
	Timer timer_;
	std::function<void(bool)> callback_;
};

} // namespace

void probeConnect(boost::asio::io_context& _loop, const std::string& _address, Duration _timeout,
                  std::function<void(bool)> _callback)
{
	std::make_shared<ConnectAttempt>(_loop, std::move(_callback))->start(_address, _timeout);
}

} // namespace sedgecart

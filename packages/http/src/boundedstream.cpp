// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "boundedstream_p.h"

#include <base/bootclock.h>
#include <http/cancellation.h>
#include <poll.h>

#include <algorithm>
#include <cerrno>
#include <iterator>

namespace sedgecart
{

const short BoundedStream::kReadable = POLLIN;
const short BoundedStream::kWritable = POLLOUT;

void BoundedStream::connect(const Endpoint& _endpoint, ErrorCode& _error)
{
	const auto address = boost::asio::ip::make_address(_endpoint.ip, _error);
	if (_error)
	{
		return;
	}
	const boost::asio::ip::tcp::endpoint to(address, _endpoint.port);
	socket_.open(to.protocol(), _error);
	socket_.non_blocking(true, _error);
	socket_.connect(to, _error);
	const bool underWay = boost::asio::error::in_progress == _error || boost::asio::error::would_block == _error;
	if (underWay && await(kWritable, _error))
	{
		boost::asio::detail::socket_option::integer<SOL_SOCKET, SO_ERROR> result;
		socket_.get_option(result, _error);
		_error = ErrorCode(result.value(), boost::system::system_category());
	}
	if (!_error)
	{
		ErrorCode ignored;
		socket_.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
	}
}

void BoundedStream::close()
{
	ErrorCode ignored;
	socket_.close(ignored);
}

bool BoundedStream::await(short _events, ErrorCode& _error)
{
	constexpr std::chrono::milliseconds kRoundUp{1};
	while (true)
	{
		const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(bound_ - BootClock::now());
		const auto wait = std::max(std::chrono::milliseconds(0), left + kRoundUp);
		// A negative descriptor is passed over.
		const int cancelled = nullptr == cancellation_ ? -1 : cancellation_->descriptor();
		pollfd entries[] = {{socket_.native_handle(), _events, 0}, {cancelled, POLLIN, 0}};
		const int ready = ::poll(entries, std::size(entries), static_cast<int>(wait.count()));
		if (0 < ready && 0 != entries[1].revents)
		{
			_error = boost::asio::error::operation_aborted;
			return false;
		}
		if (0 < ready)
		{
			_error = {};
			return true;
		}
		if (0 == ready)
		{
			_error = boost::asio::error::timed_out;
			return false;
		}
		if (EINTR != errno)
		{
			_error = ErrorCode(errno, boost::system::system_category());
			return false;
		}
	}
}

} // namespace sedgecart

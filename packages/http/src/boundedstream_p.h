// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_HTTP_BOUNDEDSTREAM_P_H_HEADER_GUARD
#define SEDGECART_HTTP_BOUNDEDSTREAM_P_H_HEADER_GUARD

#include <base/bootclock.h>
#include <http/endpoint.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/system/system_error.hpp>

#include <chrono>

namespace sedgecart
{

class Cancellation;

/// A TCP stream whose blocking steps end at a point in time, as Beast's synchronous algorithms want it. One poll and
/// one read a step: an asynchronous stream with its timers cost a node 179 us a token, this one 142 (scripts/bench
/// capacity).
class BoundedStream
{
public:
	using ErrorCode = boost::system::error_code;

	/// @param _cancellation steps end with boost::asio::error::operation_aborted once it is cancelled; may be null.
	explicit BoundedStream(const Cancellation* _cancellation) : socket_(context_), cancellation_(_cancellation)
	{
	}

	/// Steps from now on end with boost::asio::error::timed_out at this time.
	void setBound(BootClock::time_point _bound)
	{
		bound_ = _bound;
	}

	/// Connects.
	void connect(const Endpoint& _endpoint, ErrorCode& _error);

	/// Closes; harmless if it is closed.
	void close();

	template <typename Buffers>
	std::size_t read_some(const Buffers& _buffers, ErrorCode& _error) // NOLINT: Beast's name
	{
		while (await(kReadable, _error))
		{
			const std::size_t count = socket_.read_some(_buffers, _error);
			if (boost::asio::error::would_block != _error)
			{
				return count;
			}
		}
		return 0;
	}

	template <typename Buffers>
	std::size_t write_some(const Buffers& _buffers, ErrorCode& _error) // NOLINT: Beast's name
	{
		std::size_t count = socket_.write_some(_buffers, _error);
		while (boost::asio::error::would_block == _error && await(kWritable, _error))
		{
			count = socket_.write_some(_buffers, _error);
		}
		return count;
	}

	template <typename Buffers> std::size_t read_some(const Buffers& _buffers) // NOLINT: Beast's name
	{
		return orThrow(&BoundedStream::read_some<Buffers>, _buffers);
	}

	template <typename Buffers> std::size_t write_some(const Buffers& _buffers) // NOLINT: Beast's name
	{
		return orThrow(&BoundedStream::write_some<Buffers>, _buffers);
	}

private:
	static const short kReadable;
	static const short kWritable;

	/// Waits until the socket is ready, the bound is reached or the stream is cancelled.
	bool await(short _events, ErrorCode& _error);

	template <typename Buffers>
	std::size_t orThrow(std::size_t (BoundedStream::*_step)(const Buffers&, ErrorCode&), const Buffers& _buffers)
	{
		ErrorCode error;
		const std::size_t count = (this->*_step)(_buffers, error);
		if (error)
		{
			throw boost::system::system_error(error);
		}
		return count;
	}

	boost::asio::io_context context_{1};
	boost::asio::ip::tcp::socket socket_;
	const Cancellation* cancellation_;
	BootClock::time_point bound_;
};

} // namespace sedgecart

#endif // SEDGECART_HTTP_BOUNDEDSTREAM_P_H_HEADER_GUARD

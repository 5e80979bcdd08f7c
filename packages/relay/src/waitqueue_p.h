// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_RELAY_WAITQUEUE_P_H_HEADER_GUARD
#define SEDGECART_RELAY_WAITQUEUE_P_H_HEADER_GUARD

#include <aio/serverconnection.h>
#include <aio/timer.h>
#include <base/clock.h>

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <deque>
#include <functional>
#include <memory>

namespace sedgecart
{

/// A request that waits to be let in.
struct HeldRequest
{
	std::shared_ptr<ServerConnection> connection;
	ServerRequest request;
	Time arrivedAt;
	Time until;          //!< It is let in by then, or refused.
	bool waited = false; //!< It has had its turn in a queue.
};

/// Requests that wait to be let in, in the order in which they came. Loop thread only.
class WaitQueue
{
public:
	using Release = std::function<void(HeldRequest&&)>;

	/// @param _mayGo asked some times in a tenth of a second, and again behind each one that goes.
	/// @param _release gets each request when it may go or has waited long enough.
	WaitQueue(boost::asio::io_context& _loop, const ClockI& _clock, std::function<bool()> _mayGo, Release _release);

	/// @returns false if it is full; the request is then left as it is.
	bool hold(HeldRequest&& _request);

	/// Releases all.
	void releaseAll();

	/// Forgets the request of a caller that has gone.
	/// @returns true if it was here.
	bool drop(const ServerConnection& _connection);

	std::size_t size() const
	{
		return held_.size();
	}

private:
	void look();
	void releaseDue();
	void releaseNext();
	void wakeLater();

	Timer timer_;
	const ClockI& clock_;
	std::function<bool()> mayGo_;
	Release release_;
	std::deque<HeldRequest> held_;
};

} // namespace sedgecart

#endif // SEDGECART_RELAY_WAITQUEUE_P_H_HEADER_GUARD

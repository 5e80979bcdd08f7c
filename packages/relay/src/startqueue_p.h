// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_RELAY_STARTQUEUE_P_H_HEADER_GUARD
#define SEDGECART_RELAY_STARTQUEUE_P_H_HEADER_GUARD

#include <aio/serverconnection.h>
#include <aio/timer.h>
#include <base/clock.h>

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <vector>

namespace sedgecart
{

/// A request that waits for its node.
struct HeldRequest
{
	std::shared_ptr<ServerConnection> connection;
	ServerRequest request;
	Time arrivedAt;
	Time until; //!< It is let in by then, or refused.
};

/// Requests that came while the node starts, in the order in which they came. Loop thread only.
class StartQueue
{
public:
	/// @param _release gets each request when the node is ready or the request has waited long enough.
	StartQueue(boost::asio::io_context& _loop, const ClockI& _clock, std::function<void(HeldRequest&&)> _release);

	/// @returns false if it is full; the request is then left as it is.
	bool hold(HeldRequest&& _request);

	/// Releases all.
	void releaseAll();

	/// Forgets the request of a caller that has gone.
	void drop(const ServerConnection& _connection);

	std::size_t size() const
	{
		return held_.size();
	}

private:
	void releaseDue();
	void wakeLater();

	Timer timer_;
	const ClockI& clock_;
	std::function<void(HeldRequest&&)> release_;
	std::vector<HeldRequest> held_;
};

} // namespace sedgecart

#endif // SEDGECART_RELAY_STARTQUEUE_P_H_HEADER_GUARD

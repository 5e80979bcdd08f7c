// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_RELAY_ADMISSIONQUEUE_P_H_HEADER_GUARD
#define SEDGECART_RELAY_ADMISSIONQUEUE_P_H_HEADER_GUARD

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

/// A request that waits for admission.
struct QueuedRequest
{
	std::shared_ptr<ServerConnection> connection;
	ServerRequest request;
	Time arrivedAt;
	Time releaseAt;             //!< It leaves the queue by then, to be admitted or refused.
	bool wasQueued = false;     //!< It has been queued already, and is not queued again.
	bool wasHandedOver = false; //!< Handed over by another node.
};

/// FIFO queue of requests that wait for admission. Loop thread only.
class AdmissionQueue
{
public:
	using Release = std::function<void(QueuedRequest&&)>;

	/// @param _canRelease returns true if the next request may leave. Polled several times per tenth of a second while
	/// requests wait, and again after each release.
	/// @param _release receives each request when it may leave or its wait has expired.
	AdmissionQueue(boost::asio::io_context& _loop, const ClockI& _clock, std::function<bool()> _canRelease,
	               Release _release);

	/// Appends a request.
	/// @returns false if the queue is full; the request is then unchanged.
	bool push(QueuedRequest&& _request);

	/// Releases all requests.
	void releaseAll();

	/// Removes the request of a caller that has disconnected.
	/// @returns true if it was in the queue.
	bool remove(const ServerConnection& _connection);

	std::size_t size() const
	{
		return requests_.size();
	}

private:
	void poll();
	void releaseExpired();
	void releaseNext();
	void schedulePoll();

	Timer timer_;
	const ClockI& clock_;
	std::function<bool()> canRelease_;
	Release release_;
	std::deque<QueuedRequest> requests_;
};

} // namespace sedgecart

#endif // SEDGECART_RELAY_ADMISSIONQUEUE_P_H_HEADER_GUARD

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "admissionqueue_p.h"

#include <algorithm>
#include <chrono>

namespace sedgecart
{

namespace
{

/// Maximum number of queued requests, of some kilobytes each: bounds the memory taken by a burst of requests at a node
/// that is starting.
constexpr std::size_t kMaxQueued = 512;

/// Poll interval, and thus the precision with which a request's wait ends.
constexpr std::chrono::milliseconds kPollInterval{20};

} // namespace

AdmissionQueue::AdmissionQueue(boost::asio::io_context& _loop, const ClockI& _clock, std::function<bool()> _canRelease,
                               Release _release)
    : timer_(_loop),
      clock_(_clock),
      canRelease_(std::move(_canRelease)),
      release_(std::move(_release))
{
}

bool AdmissionQueue::push(QueuedRequest&& _request)
{
	if (kMaxQueued <= requests_.size())
	{
		return false;
	}
	requests_.push_back(std::move(_request));
	if (1 == requests_.size())
	{
		schedulePoll();
	}
	return true;
}

void AdmissionQueue::releaseAll()
{
	std::deque<QueuedRequest> all;
	all.swap(requests_);
	timer_.cancel();
	for (QueuedRequest& request : all)
	{
		release_(std::move(request));
	}
}

bool AdmissionQueue::remove(const ServerConnection& _connection)
{
	const auto isMatch = [&_connection](const QueuedRequest& _request)
	{
		return &_connection == _request.connection.get();
	};
	const auto found = std::find_if(requests_.begin(), requests_.end(), isMatch);
	const bool isQueued = requests_.end() != found;
	if (isQueued)
	{
		requests_.erase(found);
	}
	return isQueued;
}

void AdmissionQueue::releaseExpired()
{
	const Time now = clock_.now();
	const auto isWaiting = [now](const QueuedRequest& _request)
	{
		return now < _request.releaseAt;
	};
	const auto expired = std::stable_partition(requests_.begin(), requests_.end(), isWaiting);
	std::deque<QueuedRequest> released(std::make_move_iterator(expired), std::make_move_iterator(requests_.end()));
	requests_.erase(expired, requests_.end());
	for (QueuedRequest& request : released)
	{
		release_(std::move(request));
	}
}

void AdmissionQueue::releaseNext()
{
	QueuedRequest next = std::move(requests_.front());
	requests_.pop_front();
	release_(std::move(next));
}

void AdmissionQueue::poll()
{
	releaseExpired();
	while (!requests_.empty() && canRelease_())
	{
		releaseNext();
	}
	if (!requests_.empty())
	{
		schedulePoll();
	}
}

void AdmissionQueue::schedulePoll()
{
	timer_.expires_after(kPollInterval);
	timer_.async_wait(
	    [this](const boost::system::error_code& _error)
	    {
		    if (!_error)
		    {
			    poll();
		    }
	    });
}

} // namespace sedgecart

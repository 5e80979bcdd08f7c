// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "waitqueue_p.h"

#include <algorithm>
#include <chrono>

namespace sedgecart
{

namespace
{

/// Most requests that wait, so that a crowd at a node that starts does not take its memory: some kilobytes each.
constexpr std::size_t kMostHeld = 512;

/// How exactly a request's wait ends.
constexpr std::chrono::milliseconds kLookAgain{20};

} // namespace

WaitQueue::WaitQueue(boost::asio::io_context& _loop, const ClockI& _clock, std::function<bool()> _mayGo,
                     Release _release)
    : timer_(_loop),
      clock_(_clock),
      mayGo_(std::move(_mayGo)),
      release_(std::move(_release))
{
}

bool WaitQueue::hold(HeldRequest&& _request)
{
	if (kMostHeld <= held_.size())
	{
		return false;
	}
	held_.push_back(std::move(_request));
	if (1 == held_.size())
	{
		wakeLater();
	}
	return true;
}

void WaitQueue::releaseAll()
{
	std::deque<HeldRequest> all;
	all.swap(held_);
	timer_.cancel();
	for (HeldRequest& request : all)
	{
		release_(std::move(request));
	}
}

bool WaitQueue::drop(const ServerConnection& _connection)
{
	const auto isIts = [&_connection](const HeldRequest& _request)
	{
		return &_connection == _request.connection.get();
	};
	const auto found = std::find_if(held_.begin(), held_.end(), isIts);
	const bool isHere = held_.end() != found;
	if (isHere)
	{
		held_.erase(found);
	}
	return isHere;
}

void WaitQueue::releaseDue()
{
	const Time now = clock_.now();
	const auto waits = [now](const HeldRequest& _request)
	{
		return now < _request.until;
	};
	const auto due = std::stable_partition(held_.begin(), held_.end(), waits);
	std::deque<HeldRequest> released(std::make_move_iterator(due), std::make_move_iterator(held_.end()));
	held_.erase(due, held_.end());
	for (HeldRequest& request : released)
	{
		release_(std::move(request));
	}
}

void WaitQueue::releaseNext()
{
	HeldRequest next = std::move(held_.front());
	held_.pop_front();
	release_(std::move(next));
}

void WaitQueue::look()
{
	releaseDue();
	while (!held_.empty() && mayGo_())
	{
		releaseNext();
	}
	if (!held_.empty())
	{
		wakeLater();
	}
}

void WaitQueue::wakeLater()
{
	timer_.expires_after(kLookAgain);
	timer_.async_wait(
	    [this](const boost::system::error_code& _error)
	    {
		    if (!_error)
		    {
			    look();
		    }
	    });
}

} // namespace sedgecart

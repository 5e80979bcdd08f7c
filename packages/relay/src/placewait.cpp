// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "placewait_p.h"

#include "relayplan_p.h"

#include <base/clock.h>
#include <base/random.h>
#include <settings/mechanisms.h>

#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <chrono>

namespace sedgecart
{

namespace
{

/// Callers leave a stream after a gap of two seconds at the earliest, by the users' description of them. The wait ends
/// a little before, so that a place that is found last can still bring an event.
constexpr Duration kCallersStay = Duration::fromMillis(2000);
constexpr Duration kBeforeTheyLeave = Duration::fromMillis(200);

/// Pauses between looks for a place. A look costs as much as the choice for a new request: the first are short since
/// requests end all the time, and the longest is short beside the wait.
constexpr Duration kFirstPause = Duration::fromMillis(20);
constexpr Duration kLongestPause = Duration::fromMillis(150);

/// Each pause is so many halves of the one before.
constexpr int64_t kGrowthHalves = 3;

/// Streams that were cut in one moment must not come back in one: a pause is longer or shorter by up to one part in so
/// many.
constexpr int64_t kJitterPart = 4;

constexpr uint32_t kMostShift = 16;

} // namespace

PlaceWait::PlaceWait(const RelayContext& _context, const RelayPlan& _plan)
    : context_(_context),
      plan_(_plan),
      timer_(_context.loop),
      nextPause_(kFirstPause)
{
}

bool PlaceWait::pause(Time _lastEventAt, Look _look)
{
	const Duration most = left(_lastEventAt);
	if (most.micros <= 0)
	{
		return false;
	}
	begin(std::min(jittered(nextPause_), most), std::move(_look));
	nextPause_ = std::min(Duration{nextPause_.micros * kGrowthHalves / 2}, kLongestPause);
	return true;
}

/// Halves what is left with each send, so that the first ones come early.
bool PlaceWait::pauseTurnedAway(Time _lastEventAt, uint32_t _sendsLeft, Look _look)
{
	const Duration most = left(_lastEventAt);
	if (most.micros <= 0)
	{
		return false;
	}
	const Duration share{most.micros >> std::min(_sendsLeft, kMostShift)};
	begin(std::min(jittered(share), most), std::move(_look));
	nextPause_ = kFirstPause;
	return true;
}

void PlaceWait::onPlaced()
{
	before_ = length();
	placedAt_ = context_.clock.now();
	nextPause_ = kFirstPause;
	open_ = false;
}

void PlaceWait::cancel()
{
	timer_.cancel();
}

Duration PlaceWait::length() const
{
	return open_ ? before_ + (context_.clock.now() - openedAt_) : before_;
}

/// @returns what is left of the wait.
Duration PlaceWait::left(Time _lastEventAt) const
{
	if (!context_.mechanisms.on(Mechanism::StreamWaits))
	{
		return Duration{};
	}
	const Time from = std::max(plan_.arrivedAt, _lastEventAt);
	const Time end = std::min(from + (kCallersStay - kBeforeTheyLeave), plan_.giveUpAt);
	return end - context_.clock.now();
}

Duration PlaceWait::jittered(Duration _pause) const
{
	const int64_t part = _pause.micros / kJitterPart;
	const auto span = static_cast<uint32_t>(2 * part + 1);
	return Duration{_pause.micros - part + context_.random.below(span)};
}

void PlaceWait::begin(Duration _pause, Look _look)
{
	if (!open_)
	{
		open_ = true;
		openedAt_ = context_.clock.now();
	}
	timer_.expires_after(std::chrono::microseconds(_pause.micros));
	timer_.async_wait(
	    [look = std::move(_look)](const boost::system::error_code& _error)
	    {
		    if (!_error)
		    {
			    look();
		    }
	    });
}

} // namespace sedgecart

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "capacitywait_p.h"

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

/// By the users' description, callers abandon a stream after a gap of two seconds at the earliest. The wait ends
/// slightly before that, so that a target found last can still deliver an event in time.
constexpr Duration kCallerGapLimit = Duration::fromMillis(2000);
constexpr Duration kDeliveryMargin = Duration::fromMillis(200);

/// Pauses between attempts to find a target. An attempt costs as much as choosing a path for a new request. The first
/// pauses are short since requests end all the time, and the longest is short compared with the wait.
constexpr Duration kInitialPause = Duration::fromMillis(20);
constexpr Duration kMaxPause = Duration::fromMillis(150);

/// Growth of each pause over the previous one, in halves.
constexpr int64_t kGrowthHalves = 3;

/// Divisor of a pause that gives its maximum jitter, in both directions: streams that were cut off together must not be
/// resent together.
constexpr int64_t kJitterDivisor = 4;

constexpr uint32_t kMaxShift = 16;

} // namespace

CapacityWait::CapacityWait(const RelayContext& _context, const RelayPlan& _plan)
    : context_(_context),
      plan_(_plan),
      timer_(_context.loop),
      nextPause_(kInitialPause)
{
}

bool CapacityWait::pause(Time _lastEventAt, Callback _onElapsed)
{
	const Duration remaining = timeLeft(_lastEventAt);
	if (remaining.micros <= 0)
	{
		return false;
	}
	startTimer(std::min(jittered(nextPause_), remaining), std::move(_onElapsed));
	nextPause_ = std::min(Duration{nextPause_.micros * kGrowthHalves / 2}, kMaxPause);
	return true;
}

/// Divides the remaining time by two to the power of the remaining sends, so that the first sends come early.
bool CapacityWait::pauseAfterRefusal(Time _lastEventAt, uint32_t _sendsLeft, Callback _onElapsed)
{
	const Duration remaining = timeLeft(_lastEventAt);
	if (remaining.micros <= 0)
	{
		return false;
	}
	const Duration share{remaining.micros >> std::min(_sendsLeft, kMaxShift)};
	startTimer(std::min(jittered(share), remaining), std::move(_onElapsed));
	nextPause_ = kInitialPause;
	return true;
}

void CapacityWait::onResumed()
{
	endedDuration_ = totalDuration();
	resumedAt_ = context_.clock.now();
	nextPause_ = kInitialPause;
	isWaiting_ = false;
}

void CapacityWait::cancel()
{
	timer_.cancel();
}

Duration CapacityWait::totalDuration() const
{
	return isWaiting_ ? endedDuration_ + (context_.clock.now() - startedAt_) : endedDuration_;
}

Duration CapacityWait::timeLeft(Time _lastEventAt) const
{
	if (!context_.mechanisms.isEnabled(Mechanism::StreamWaits))
	{
		return Duration{};
	}
	const Time from = std::max(plan_.arrivedAt, _lastEventAt);
	const Time end = std::min(from + (kCallerGapLimit - kDeliveryMargin), plan_.deadline);
	return end - context_.clock.now();
}

Duration CapacityWait::jittered(Duration _pause) const
{
	const int64_t jitter = _pause.micros / kJitterDivisor;
	const auto span = static_cast<uint32_t>(2 * jitter + 1);
	return Duration{_pause.micros - jitter + context_.random.below(span)};
}

void CapacityWait::beginQueued()
{
	if (!isWaiting_)
	{
		isWaiting_ = true;
		startedAt_ = context_.clock.now();
	}
}

void CapacityWait::startTimer(Duration _pause, Callback _onElapsed)
{
	beginQueued();
	timer_.expires_after(std::chrono::microseconds(_pause.micros));
	timer_.async_wait(
	    [onElapsed = std::move(_onElapsed)](const boost::system::error_code& _error)
	    {
		    if (!_error)
		    {
			    onElapsed();
		    }
	    });
}

} // namespace sedgecart

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <core/streamend.h>

#include <core/streampace.h>

#include <algorithm>

namespace sedgecart
{

namespace
{

/// An estimate lasts for so many events, so that its cost is small beside that of forwarding them.
constexpr uint64_t kEventsPerEstimate = 16;

/// The usual pace counts as much as so many observed events: a single pause of a young stream says little of its pace.
constexpr int64_t kPriorEvents = 16;

/// A stream past its expected length goes on for this part of it.
constexpr uint64_t kOverrunDivisor = 4;

} // namespace

StreamEnd::StreamEnd(StreamPace& _pace, uint64_t _hintedTokens, uint64_t _events, Time _sentAt)
    : pace_(_pace),
      hintedTokens_(_hintedTokens),
      sentAt_(_sentAt),
      events_(_events),
      firstEvents_(_events),
      firstAt_(_sentAt),
      estimatedEvents_(_events),
      lastAt_(_sentAt)
{
	estimate(_sentAt + pace_.firstEvent());
}

bool StreamEnd::onEvents(uint64_t _events, Time _now)
{
	if (_events <= events_)
	{
		return false;
	}
	events_ = _events;
	lastAt_ = _now;
	if (!hasArrived_)
	{
		hasArrived_ = true;
		firstEvents_ = _events;
		firstAt_ = _now;
		pace_.recordFirstEvent(_now - sentAt_);
	}
	if (_events - estimatedEvents_ < kEventsPerEstimate && _now < endsAt_)
	{
		return false;
	}
	estimate(_now);
	return true;
}

void StreamEnd::onComplete()
{
	if (firstEvents_ < events_)
	{
		pace_.recordGap(lastAt_ - firstAt_, events_ - firstEvents_);
	}
	pace_.recordEnd(events_, hintedTokens_);
}

Duration StreamEnd::gap(Time _now) const
{
	const auto observed = static_cast<int64_t>(events_ - firstEvents_);
	const Duration span = hasArrived_ ? _now - firstAt_ : Duration{};
	return Duration{(pace_.gap().micros * kPriorEvents + span.micros) / (kPriorEvents + observed)};
}

void StreamEnd::estimate(Time _lastEventAt)
{
	const uint64_t expected = pace_.expectedEvents(hintedTokens_);
	const uint64_t overrun = std::max<uint64_t>(expected / kOverrunDivisor, 1);
	const uint64_t left = events_ < expected ? expected - events_ : overrun;
	endsAt_ = _lastEventAt + Duration{gap(_lastEventAt).micros * static_cast<int64_t>(left)};
	estimatedEvents_ = events_;
}

} // namespace sedgecart

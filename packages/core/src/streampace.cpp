// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <core/streampace.h>

#include <algorithm>
#include <cmath>

namespace sedgecart
{

namespace
{

/// Weight of one stream in a mean: with less, a change of the load would show only after several seconds.
constexpr double kWeight = 1.0 / 32;

double moved(double _mean, double _value)
{
	return _mean + (_value - _mean) * kWeight;
}

} // namespace

void StreamPace::recordFirstEvent(Duration _duration)
{
	firstEventMicros_ = moved(firstEventMicros_, static_cast<double>(_duration.micros));
}

void StreamPace::recordGap(Duration _span, uint64_t _events)
{
	gapMicros_ = moved(gapMicros_, static_cast<double>(_span.micros) / static_cast<double>(_events));
}

/// Moves to the median by a fixed part, since few long answers would determine a mean.
void StreamPace::recordEnd(uint64_t _events, uint64_t _hintedTokens)
{
	const double observed = static_cast<double>(_events) / static_cast<double>(_hintedTokens);
	eventsPerToken_ *= eventsPerToken_ < observed ? 1 + kWeight : 1 / (1 + kWeight);
}

Duration StreamPace::firstEvent() const
{
	return Duration{static_cast<int64_t>(firstEventMicros_)};
}

Duration StreamPace::gap() const
{
	return Duration{static_cast<int64_t>(gapMicros_)};
}

uint64_t StreamPace::expectedEvents(uint64_t _hintedTokens) const
{
	return static_cast<uint64_t>(std::max(1.0, std::round(static_cast<double>(_hintedTokens) * eventsPerToken_)));
}

} // namespace sedgecart

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <core/responsetimeestimator.h>

#include <algorithm>
#include <cmath>

namespace sedgecart
{

namespace
{

/// Initial estimates, used until enough was observed: the time of a request that is not a stream, which nearly none
/// exceeds, the time to the first event of a stream under load, and the time per event. They fit targets that generate
/// a token in 10 to 12 ms; other targets are slower, so that these values count only initially.
constexpr Duration kInitialCall = Duration::fromMillis(1500);
constexpr Duration kInitialFirstEvent = Duration::fromMillis(600);
constexpr Duration kInitialGap = Duration::fromMillis(14);

/// Tokens assumed for a stream whose request sets no maximum.
constexpr uint32_t kDefaultTokens = 1000;

/// Minimum length of a measured interval: in a shorter one, a single pause of 200 ms, as a change of targets causes,
/// would count as the speed of the whole stream.
constexpr Duration kMinInterval = Duration::fromMillis(500);

/// One in this many observed times may exceed the estimate.
struct QuantileBounds
{
	std::size_t firstEvents;
	std::size_t intervals;
};

/// A stream that is admitted and does not complete in time is reset, while one that is refused may be refused by other
/// nodes as well. Estimating with the slowest of two hundred intervals and with responses of maximum length refuses
/// many requests that would have completed, which costs more than the resets when all nodes restart.
constexpr QuantileBounds kBounds[EstimateBound::Count] = {{20, 4}, {200, 200}};
constexpr std::size_t kOneCallIn = 200;

/// Most streams end before their maximum tokens: one in this many complete streams may take longer than estimated.
constexpr std::size_t kOneStreamIn = 10;

/// @returns the observed bound, or the initial estimate if that is longer and too little was observed.
Duration observedOr(const RecentDurations& _spans, std::size_t _oneIn, Duration _initial)
{
	const Duration observed = _spans.exceededByOneIn(_oneIn);
	return _spans.hasEnough() ? observed : std::max(observed, _initial);
}

} // namespace

void ResponseTimeEstimator::recordCall(Duration _duration)
{
	calls_.add(_duration);
}

void ResponseTimeEstimator::recordEvents(StreamInterval& _mark, uint64_t _events, Time _now)
{
	if (_events <= _mark.events)
	{
		return;
	}
	if (0 == _mark.events)
	{
		firstEvents_.add(_now - _mark.start);
		_mark.start = _now;
		_mark.events = _events;
		return;
	}
	if (!(_now - _mark.start < kMinInterval))
	{
		recordInterval(_mark, _events, _now);
	}
}

void ResponseTimeEstimator::recordEnd(StreamInterval& _mark, uint64_t _events, uint32_t _maxTokens, Time _now)
{
	streams_.add(_now - _mark.arrivedAt);
	if (0 < _maxTokens)
	{
		eventsPerToken_.add(static_cast<double>(_events) / _maxTokens);
	}
	if (!_mark.measured && 0 < _mark.events && _mark.events < _events)
	{
		recordInterval(_mark, _events, _now);
	}
}

void ResponseTimeEstimator::recordInterval(StreamInterval& _mark, uint64_t _events, Time _now)
{
	const auto received = static_cast<int64_t>(_events - _mark.events);
	const int64_t span = (_now - _mark.start).micros;
	gaps_.add(Duration{(span + received - 1) / received}); // rounded up: over a long stream the remainder adds up
	_mark.start = _now;
	_mark.events = _events;
	_mark.measured = true;
}

/// An event may contain several tokens, and responses may end well before their maximum tokens: counting one event per
/// token would refuse requests that would complete in time.
uint64_t ResponseTimeEstimator::maxEvents(uint32_t _maxTokens) const
{
	const uint32_t tokens = 0 == _maxTokens ? kDefaultTokens : _maxTokens;
	const double share = eventsPerToken_.hasEnough() ? std::min(1.0, eventsPerToken_.maximum()) : 1;
	return static_cast<uint64_t>(std::ceil(tokens * share));
}

ResponseTimeEstimate ResponseTimeEstimator::estimate(RequestKind::Enum _kind, uint32_t _maxTokens,
                                                     EstimateBound::Enum _bound) const
{
	ResponseTimeEstimate made;
	if (RequestKind::Stream != _kind)
	{
		made.total = observedOr(calls_, kOneCallIn, kInitialCall);
		made.observations = calls_.size();
		return made;
	}
	const QuantileBounds& bounds = kBounds[_bound];
	made.events = maxEvents(_maxTokens);
	made.gap = observedOr(gaps_, bounds.intervals, kInitialGap);
	made.firstEvent = observedOr(firstEvents_, bounds.firstEvents, kInitialFirstEvent);
	made.observations = gaps_.size();
	const Duration upperBound = made.firstEvent + Duration{static_cast<int64_t>(made.events) * made.gap.micros};
	made.wholeStream = streams_.hasEnough() ? streams_.exceededByOneIn(kOneStreamIn) : Duration{};
	const bool useStreams = EstimateBound::Typical == _bound && streams_.hasEnough();
	made.total = useStreams ? std::min(upperBound, made.wholeStream) : upperBound;
	return made;
}

} // namespace sedgecart

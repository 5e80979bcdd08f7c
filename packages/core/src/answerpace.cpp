// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <core/answerpace.h>

#include <algorithm>
#include <cmath>

namespace sedgecart
{

namespace
{

/// What is supposed until enough was observed: a call's time that nearly none
/// exceeds, the time to a stream's first event under load, and the time for
/// each event. Of targets that generate a token in 10 to 12 ms; others are
/// slower, which is why these count only at a start.
constexpr Duration kCallAtFirst = Duration::fromMillis(1500);
constexpr Duration kFirstEventAtFirst = Duration::fromMillis(600);
constexpr Duration kGapAtFirst = Duration::fromMillis(14);

/// Tokens of a stream that names no bound.
constexpr uint32_t kUnknownTokens = 1000;

/// Shortest part of a stream that tells its pace: over less, a single pause of
/// 200 ms, as a change of targets makes, would pass for the pace of the whole.
constexpr Duration kPart = Duration::fromMillis(500);

/// Of so many observed times one may be longer.
struct PaceBounds
{
	std::size_t firstEvents;
	std::size_t parts; //!< Parts of streams.
};

/// A stream that is let in and does not end is reset, one that is refused may be refused elsewhere as well: reckoning
/// with the slowest of two hundred parts and with answers as long as their bound refused what would have ended, worth
/// of what was served 0.879 -> 0.727 (mean of 3 runs in which all nodes restart). Who comes long after the signal can
/// go elsewhere at once; of those nothing may be lost.
constexpr PaceBounds kBounds[PaceDemand::Count] = {{20, 4}, {200, 200}};
constexpr std::size_t kCallsPerLonger = 200;

/// Streams mostly end before their bound: of so many whole ones one may last longer.
constexpr std::size_t kStreamsPerLonger = 10;

/// @returns what was observed, or what is supposed at first where that is longer and little was observed.
Duration observedOr(const RecentSpans& _spans, std::size_t _perSlower, Duration _atFirst)
{
	const Duration observed = _spans.exceededByOneIn(_perSlower);
	return _spans.enough() ? observed : std::max(observed, _atFirst);
}

} // namespace

void AnswerPace::noteCall(Duration _held)
{
	calls_.add(_held);
}

void AnswerPace::noteEvents(StreamMark& _mark, uint64_t _events, Time _now)
{
	if (_events <= _mark.events)
	{
		return;
	}
	if (0 == _mark.events)
	{
		firstEvents_.add(_now - _mark.at);
		_mark.at = _now;
		_mark.events = _events;
		return;
	}
	if (!(_now - _mark.at < kPart))
	{
		notePace(_mark, _events, _now);
	}
}

void AnswerPace::noteEnd(StreamMark& _mark, uint64_t _events, uint32_t _mostTokens, Time _now)
{
	wholes_.add(_now - _mark.arrivedAt);
	if (0 < _mostTokens)
	{
		eventsPerToken_.add(static_cast<double>(_events) / _mostTokens);
	}
	if (!_mark.told && 0 < _mark.events && _mark.events < _events)
	{
		notePace(_mark, _events, _now);
	}
}

void AnswerPace::notePace(StreamMark& _mark, uint64_t _events, Time _now)
{
	const auto came = static_cast<int64_t>(_events - _mark.events);
	const int64_t span = (_now - _mark.at).micros;
	gaps_.add(Duration{(span + came - 1) / came}); // rounded up: over a long stream the rest adds up
	_mark.at = _now;
	_mark.events = _events;
	_mark.told = true;
}

/// An event may hold several tokens, and answers may end well before their bound: an event counted for each token
/// refuses what would end in time.
uint64_t AnswerPace::mostEvents(uint32_t _mostTokens) const
{
	const uint32_t tokens = 0 == _mostTokens ? kUnknownTokens : _mostTokens;
	const double share = eventsPerToken_.enough() ? std::min(1.0, eventsPerToken_.most()) : 1;
	return static_cast<uint64_t>(std::ceil(tokens * share));
}

Duration AnswerPace::needed(RequestKind::Enum _kind, uint32_t _mostTokens, PaceDemand::Enum _demand) const
{
	if (RequestKind::Stream != _kind)
	{
		return observedOr(calls_, kCallsPerLonger, kCallAtFirst);
	}
	const PaceBounds& bounds = kBounds[_demand];
	const auto events = static_cast<int64_t>(mostEvents(_mostTokens));
	const Duration gap = observedOr(gaps_, bounds.parts, kGapAtFirst);
	const Duration first = observedOr(firstEvents_, bounds.firstEvents, kFirstEventAtFirst);
	const Duration longest = first + Duration{events * gap.micros};
	const bool usualKnown = PaceDemand::Usual == _demand && wholes_.enough();
	return usualKnown ? std::min(longest, wholes_.exceededByOneIn(kStreamsPerLonger)) : longest;
}

} // namespace sedgecart

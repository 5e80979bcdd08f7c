// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_CORE_STREAMPACE_H_HEADER_GUARD
#define SEDGECART_CORE_STREAMPACE_H_HEADER_GUARD

#include <base/units.h>

#include <cstdint>

namespace sedgecart
{

/// Usual pace of the streams of a service, for streams that have too few events for an observation of their own.
/// Request thread only.
class StreamPace
{
public:
	/// @param _duration from the send of a stream to its first event.
	void recordFirstEvent(Duration _duration);

	/// @param _events that followed the first one within a span of time; above 0.
	void recordGap(Duration _span, uint64_t _events);

	/// @param _events of a complete stream.
	/// @param _hintedTokens of its answer, above 0.
	void recordEnd(uint64_t _events, uint64_t _hintedTokens);

	/// @returns the mean time from the send of a stream to its first event.
	Duration firstEvent() const;

	/// @returns the mean time between two events.
	Duration gap() const;

	/// @returns the expected number of events of an answer: its hinted tokens times the events per hinted token, of
	/// which half of the streams have more. An event may hold several tokens; how many is not said anywhere.
	uint64_t expectedEvents(uint64_t _hintedTokens) const;

private:
	// Initial values as in ResponseTimeEstimator; an event for each token.
	double firstEventMicros_ = 600'000;
	double gapMicros_ = 14'000;
	double eventsPerToken_ = 1;
};

} // namespace sedgecart

#endif // SEDGECART_CORE_STREAMPACE_H_HEADER_GUARD

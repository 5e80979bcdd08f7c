// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_CORE_RESPONSETIMEESTIMATOR_H_HEADER_GUARD
#define SEDGECART_CORE_RESPONSETIMEESTIMATOR_H_HEADER_GUARD

#include <base/desiredstate.h>
#include <base/units.h>
#include <core/recentdurations.h>
#include <core/recentmaximum.h>
#include <core/responsetimeestimate.h>

#include <cstdint>

namespace sedgecart
{

/// Start of the interval of a stream whose mean time per event is measured next.
struct StreamInterval
{
	Time start;            //!< Start of the interval; initially when the request arrived.
	uint64_t events = 0;   //!< Events received by then.
	bool measured = false; //!< True once an interval of this stream was measured.
	Time arrivedAt;        //!< When the request arrived.
};

/// Which of the recent responses an estimate is to cover. It bounds no response to come: those may be longer or slower
/// than all that were observed.
struct EstimateBound
{
	enum Enum
	{
		Typical,  //!< Most recent responses took no longer.
		Cautious, //!< Few recent responses took longer.

		Count
	};
};

/// Estimates how long responses take from recent observations, so that a node that shuts down admits only requests that
/// will complete in time.
class ResponseTimeEstimator
{
public:
	/// Records a completed request that is not a stream.
	/// @param _duration time since it arrived.
	void recordCall(Duration _duration);

	/// Records that events of a stream have arrived. Intervals are measured equally often whatever the speed of the
	/// stream, so that streams on slow targets count as much as others.
	/// @param _events number of events of the response so far.
	void recordEvents(StreamInterval& _mark, uint64_t _events, Time _now);

	/// Records that a stream is complete. The whole of a stream too short for an interval is measured now.
	/// @param _maxTokens maximum tokens of its response; 0 if it is not known.
	void recordEnd(StreamInterval& _mark, uint64_t _events, uint32_t _maxTokens, Time _now);

	/// @param _maxTokens maximum tokens of a stream's response; 0 if it is not known.
	/// @returns the estimated maximum time of a request that arrives now.
	ResponseTimeEstimate estimate(RequestKind::Enum _kind, uint32_t _maxTokens, EstimateBound::Enum _bound) const;

private:
	void recordInterval(StreamInterval& _mark, uint64_t _events, Time _now);
	uint64_t maxEvents(uint32_t _maxTokens) const;

	RecentDurations calls_;
	RecentDurations firstEvents_;  //!< From the arrival of a stream to its first event.
	RecentDurations streams_;      //!< From the arrival of a stream to its end.
	RecentDurations gaps_;         //!< Mean time per event in an interval of a stream.
	RecentMaximum eventsPerToken_; //!< Events of a complete stream divided by its maximum tokens.
};

} // namespace sedgecart

#endif // SEDGECART_CORE_RESPONSETIMEESTIMATOR_H_HEADER_GUARD

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_CORE_ANSWERPACE_H_HEADER_GUARD
#define SEDGECART_CORE_ANSWERPACE_H_HEADER_GUARD

#include <base/desiredstate.h>
#include <base/units.h>
#include <core/recentmost.h>
#include <core/recentspans.h>

#include <cstdint>

namespace sedgecart
{

/// Where in a stream the part begins whose pace is told next.
struct StreamMark
{
	Time at;             //!< At first when the request came.
	uint64_t events = 0; //!< That had come by then.
	bool told = false;   //!< A pace of this stream has been told.
	Time arrivedAt;      //!< When the request came.
};

/// How sure it has to be that an answer takes no longer.
struct PaceDemand
{
	enum Enum
	{
		Usual, //!< Most take no longer.
		Sure,  //!< Next to none does, over whichever target.

		Count
	};
};

/// How long answers take here, by what was observed lately, so that a node that stops knows what will have ended in
/// time.
class AnswerPace
{
public:
	/// A call has been answered.
	/// @param _held since it came.
	void noteCall(Duration _held);

	/// Events of a stream have come. Each stream tells its pace equally often,
	/// whatever the pace is, so that those over slow targets count as much as
	/// others.
	/// @param _events of the whole answer so far.
	void noteEvents(StreamMark& _mark, uint64_t _events, Time _now);

	/// A stream is complete: one that was too short to tell its pace does so now.
	/// @param _mostTokens upper bound of its answer; 0 if it was not known.
	void noteEnd(StreamMark& _mark, uint64_t _events, uint32_t _mostTokens, Time _now);

	/// @param _mostTokens upper bound of a stream's answer; 0 if it is not known.
	/// @returns how long a request that comes now may take.
	Duration needed(RequestKind::Enum _kind, uint32_t _mostTokens, PaceDemand::Enum _demand) const;

private:
	void notePace(StreamMark& _mark, uint64_t _events, Time _now);
	uint64_t mostEvents(uint32_t _mostTokens) const;

	RecentSpans calls_;
	RecentSpans firstEvents_;   //!< From a stream's arrival on.
	RecentSpans wholes_;        //!< Whole streams, from their arrival on.
	RecentSpans gaps_;          //!< Mean time for an event, of parts of streams.
	RecentMost eventsPerToken_; //!< Events of whole streams for each token of their bounds.
};

} // namespace sedgecart

#endif // SEDGECART_CORE_ANSWERPACE_H_HEADER_GUARD

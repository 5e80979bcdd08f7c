// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_CORE_STREAMEND_H_HEADER_GUARD
#define SEDGECART_CORE_STREAMEND_H_HEADER_GUARD

#include <base/units.h>

#include <cstdint>

namespace sedgecart
{

class StreamPace;

/// Estimates when a running stream ends, by its hinted length and the pace of its events. Pure.
class StreamEnd
{
public:
	/// @param _pace must outlive this object; observations of the stream are added to it.
	/// @param _hintedTokens of the whole answer, above 0.
	/// @param _events of the answer that the caller has before this send.
	StreamEnd(StreamPace& _pace, uint64_t _hintedTokens, uint64_t _events, Time _sentAt);

	/// Estimates anew if 16 events have arrived since the last estimate or it has passed.
	/// @param _events of the answer so far.
	/// @returns true if the estimate has changed.
	bool onEvents(uint64_t _events, Time _now);

	/// Records that the answer is complete.
	void onComplete();

	/// @returns when the stream is expected to end.
	Time endsAt() const
	{
		return endsAt_;
	}

private:
	Duration gap(Time _now) const;
	void estimate(Time _lastEventAt);

	StreamPace& pace_;
	uint64_t hintedTokens_;
	Time sentAt_;
	uint64_t events_;          //!< Of the answer so far.
	uint64_t firstEvents_;     //!< `events_` at the first arrival; before it, at the send.
	Time firstAt_;             //!< First arrival; before it, the send.
	uint64_t estimatedEvents_; //!< `events_` at the last estimate.
	Time lastAt_;              //!< Last arrival.
	bool hasArrived_ = false;  //!< An event has arrived since the send.
	Time endsAt_;
};

} // namespace sedgecart

#endif // SEDGECART_CORE_STREAMEND_H_HEADER_GUARD

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_RELAY_PLACEWAIT_P_H_HEADER_GUARD
#define SEDGECART_RELAY_PLACEWAIT_P_H_HEADER_GUARD

#include <aio/timer.h>
#include <base/units.h>
#include <relay/relaycontext.h>

#include <cstdint>
#include <functional>

namespace sedgecart
{

struct RelayPlan;

/// The pauses of one stream that has begun and waits for a place at a target. Loop thread only.
class PlaceWait
{
public:
	/// Called at the end of a pause.
	using Look = std::function<void()>;

	/// @param _plan must outlive it.
	PlaceWait(const RelayContext& _context, const RelayPlan& _plan);

	/// Begins the next pause, behind which a place is looked for.
	/// @param _lastEventAt when its caller got something last; zero if never.
	/// @returns false if its caller is about to leave, its time is over or waits are switched off.
	bool pause(Time _lastEventAt, Look _look);

	/// The same for a stream that targets have turned away: what is left of its sends is spread over what is left of
	/// the wait.
	/// @param _sendsLeft above 0.
	bool pauseTurnedAway(Time _lastEventAt, uint32_t _sendsLeft, Look _look);

	/// A target works on it: the wait is over.
	void onPlaced();

	/// No more pause ends.
	void cancel();

	/// @returns true from the first pause until `onPlaced`.
	bool open() const
	{
		return open_;
	}

	/// @returns when the last wait ended at a target; zero if none has.
	Time placedAt() const
	{
		return placedAt_;
	}

	/// @returns for how long it has waited, in all.
	Duration length() const;

private:
	Duration left(Time _lastEventAt) const;
	Duration jittered(Duration _pause) const;
	void begin(Duration _pause, Look _look);

	const RelayContext& context_;
	const RelayPlan& plan_;
	Timer timer_;
	Duration nextPause_;
	Duration before_; //!< Length of the waits that are over.
	Time openedAt_;
	Time placedAt_;
	bool open_ = false;
};

} // namespace sedgecart

#endif // SEDGECART_RELAY_PLACEWAIT_P_H_HEADER_GUARD

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_RELAY_CAPACITYWAIT_P_H_HEADER_GUARD
#define SEDGECART_RELAY_CAPACITYWAIT_P_H_HEADER_GUARD

#include <aio/timer.h>
#include <base/units.h>
#include <relay/relaycontext.h>

#include <cstdint>
#include <functional>

namespace sedgecart
{

struct RelayPlan;

/// Bounds the wait of one stream for a target with free capacity, and schedules its retries unless a queue does. Loop
/// thread only.
class CapacityWait
{
public:
	/// Called when a pause has elapsed.
	using Callback = std::function<void()>;

	/// @param _plan must outlive this object.
	CapacityWait(const RelayContext& _context, const RelayPlan& _plan);

	/// Starts the next pause.
	/// @param _lastEventAt when the caller last received an event; zero if never.
	/// @param _onElapsed looks for a target with free capacity.
	/// @returns false if the caller is about to disconnect, the request's time is over or waits are disabled.
	bool pause(Time _lastEventAt, Callback _onElapsed);

	/// Starts a pause for a stream that was refused by targets: its remaining sends are spread over the remaining wait.
	/// @param _sendsLeft remaining sends, above 0.
	/// @returns false in the same cases as `pause`.
	bool pauseAfterRefusal(Time _lastEventAt, uint32_t _sendsLeft, Callback _onElapsed);

	/// Starts a wait in a queue, which schedules the retries.
	void beginQueued();

	/// @param _lastEventAt when the caller last received an event; zero if never.
	/// @returns the remaining time of a wait; zero or less if the caller is about to disconnect, the request's time is
	/// over or waits are disabled.
	Duration timeLeft(Time _lastEventAt) const;

	/// Ends the wait, since a target continues the stream.
	void onResumed();

	/// Cancels the current pause.
	void cancel();

	/// @returns true from the first pause until `onResumed`.
	bool isWaiting() const
	{
		return isWaiting_;
	}

	/// @returns when a target last continued the stream after a wait; zero if never.
	Time resumedAt() const
	{
		return resumedAt_;
	}

	/// @returns the total duration of all waits.
	Duration totalDuration() const;

private:
	Duration jittered(Duration _pause) const;
	void startTimer(Duration _pause, Callback _onElapsed);

	const RelayContext& context_;
	const RelayPlan& plan_;
	Timer timer_;
	Duration nextPause_;
	Duration endedDuration_; //!< Total duration of the waits that have ended.
	Time startedAt_;
	Time resumedAt_;
	bool isWaiting_ = false;
};

} // namespace sedgecart

#endif // SEDGECART_RELAY_CAPACITYWAIT_P_H_HEADER_GUARD

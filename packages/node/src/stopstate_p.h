// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_NODE_STOPSTATE_P_H_HEADER_GUARD
#define SEDGECART_NODE_STOPSTATE_P_H_HEADER_GUARD

#include <base/units.h>
#include <http/cancellation.h>

#include <atomic>

namespace sedgecart
{

/// Whether the node is stopping, and which requests it still admits. Thread-safe.
class StopState
{
public:
	/// Called once, by the stop signal.
	/// @param _lateFrom when the balancer has removed the node: later requests come over connections from before.
	/// @param _lastAnswersAt when every request must have its answer.
	void begin(Time _lateFrom, Time _lastAnswersAt);

	/// @returns true from the stop signal on.
	bool isStopping() const;

	/// Callers of late requests can go to another node at once, so none of these may be cut off.
	/// @param _deadline when the request gets its answer in any case.
	/// @returns false for a late request that nothing ends within the stop.
	bool admits(Time _now, Time _deadline) const;

	/// @returns true when the requests that are left need their answers now, until they are cut.
	bool mustCut(Time _now) const;

	/// Ends what requests wait for at targets.
	void cutRequests();

	/// @returns true once what was left was cut.
	bool areRequestsCut() const;

	/// @returns what ends the waits for targets.
	const Cancellation& cut() const
	{
		return cut_;
	}

private:
	// Written before `stopping_`, and read after it.
	Time lateFrom_;
	Time lastAnswersAt_;
	std::atomic<bool> stopping_{false};
	Cancellation cut_;
};

} // namespace sedgecart

#endif // SEDGECART_NODE_STOPSTATE_P_H_HEADER_GUARD

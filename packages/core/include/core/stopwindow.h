// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_CORE_STOPWINDOW_H_HEADER_GUARD
#define SEDGECART_CORE_STOPWINDOW_H_HEADER_GUARD

#include <base/units.h>

namespace sedgecart
{

/// Decides which requests a node that is shutting down still admits: callers arrive until the load balancer has
/// noticed, some of them later, and admitted requests must end before the process does.
class StopWindow
{
public:
	/// @param _signalAt when the stop signal arrived.
	/// @param _bound time from the signal to the kill.
	StopWindow(Time _signalAt, Duration _bound);

	/// @param _needed longest time that the request may take.
	/// @returns true if a request that arrives now will end in time.
	bool admits(Duration _needed, Time _now) const;

	/// @returns when the stop signal arrived.
	Time signalAt() const
	{
		return signalAt_;
	}

	/// @returns true while the load balancer may still send callers to this node.
	bool callersMayArrive(Time _now) const;

	/// @returns from when on no more requests are read: the last answers need time to reach their callers.
	Time drainAt() const;

	/// @returns when all requests must have ended so that the process can exit before the kill.
	Time deadline() const;

private:
	Time signalAt_;
	Duration bound_;
};

} // namespace sedgecart

#endif // SEDGECART_CORE_STOPWINDOW_H_HEADER_GUARD

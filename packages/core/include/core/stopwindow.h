// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_CORE_STOPWINDOW_H_HEADER_GUARD
#define SEDGECART_CORE_STOPWINDOW_H_HEADER_GUARD

#include <base/units.h>

namespace sedgecart
{

/// What a node that stops may still let in: callers come until the balancer has noticed, some of them later, and what
/// is let in must end before the process does.
class StopWindow
{
public:
	/// @param _began when the stop signal came.
	/// @param _bound from the signal to the kill.
	StopWindow(Time _began, Duration _bound);

	/// @param _needed longest time that the request may take.
	/// @returns true if it will have ended in time if it comes now.
	bool admits(Duration _needed, Time _now) const;

	/// @returns when the stop signal came.
	Time began() const
	{
		return began_;
	}

	/// @returns true while the balancer may still send callers here.
	bool callersStillCome(Time _now) const;

	/// @returns when the process must end whatever is under way.
	Time end() const;

private:
	Time began_;
	Duration bound_;
};

} // namespace sedgecart

#endif // SEDGECART_CORE_STOPWINDOW_H_HEADER_GUARD

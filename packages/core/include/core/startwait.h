// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_CORE_STARTWAIT_H_HEADER_GUARD
#define SEDGECART_CORE_STARTWAIT_H_HEADER_GUARD

#include <base/units.h>

namespace sedgecart
{

/// Whether a request waits for a node that is still starting. Answers the load after a loss of all nodes: callers come
/// to nodes that will serve within a moment; refused, they come back too late for their objective, or to a node that is
/// no further. Only the first moments of a process count, so that nothing waits for a store that does not answer.
class StartWait
{
public:
	/// @param _startedAt when the process was up.
	explicit StartWait(Time _startedAt) : startedAt_(_startedAt)
	{
	}

	/// @param _budget that the caller gives the request; a request that has waited for half of it is refused.
	/// @returns until when a request that comes now may wait; not after now if it is to be refused at once.
	Time until(Duration _budget, Time _now) const
	{
		const Time ready = startedAt_ + kUsualStart;
		const Time half = _now + Duration{_budget.micros / 2};
		return half < ready ? half : ready;
	}

	/// From a process's start until it serves: 0.55 s in the median and 0.75 s at most of 59 nodes of 0.12 cores that
	/// started at the same moment as 236 others.
	static constexpr Duration kUsualStart = Duration::fromMillis(800);

private:
	Time startedAt_;
};

} // namespace sedgecart

#endif // SEDGECART_CORE_STARTWAIT_H_HEADER_GUARD

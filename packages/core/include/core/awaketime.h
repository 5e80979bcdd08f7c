// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_CORE_AWAKETIME_H_HEADER_GUARD
#define SEDGECART_CORE_AWAKETIME_H_HEADER_GUARD

#include <base/units.h>

#include <cstddef>
#include <deque>

namespace sedgecart
{

/// Measures how much of the elapsed time this node was able to run, by ticks that are due at a fixed interval. Time
/// between two ticks counts only up to that interval: a node that is suspended, or gets the processor late, ages
/// little, so that messages which it missed meanwhile do not count against other nodes.
class AwakeTime
{
public:
	/// @param _interval between two ticks of a node that is never late.
	explicit AwakeTime(Duration _interval);

	/// Records a tick.
	void tick(Time _now);

	/// Drops all ticks. To be called after ticks were stopped on purpose, when the gap since the last one says nothing
	/// about lateness.
	void reset();

	/// @returns the time from a moment until now during which this node was able to run; a moment older than `kHistory`
	/// counts as that old.
	Duration awakeSince(Time _moment, Time _now) const;

	/// @returns how many times longer work has recently taken on this node than on a node that is never late, at
	/// least 1.
	double slowdown() const;

	/// Age at which ticks are dropped.
	static constexpr Duration kHistory = Duration::fromMillis(1000);

private:
	/// One tick.
	struct Tick
	{
		Time at;
		Duration awake; //!< Total since the first tick.
	};

	Duration untilLastTick(Time _moment) const;

	Duration maxGap_;        //!< Longest time between two ticks that counts in full.
	std::deque<Tick> ticks_; //!< In order of time.
};

} // namespace sedgecart

#endif // SEDGECART_CORE_AWAKETIME_H_HEADER_GUARD

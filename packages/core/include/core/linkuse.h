// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_CORE_LINKUSE_H_HEADER_GUARD
#define SEDGECART_CORE_LINKUSE_H_HEADER_GUARD

#include <base/units.h>

#include <array>
#include <atomic>
#include <cstdint>

namespace sedgecart
{

/// How much of the link between data halls requests have taken lately: this node's by its own count, the others' by
/// their last word. Answers the load in which a hall has lost its chain and borrows layers from others: prompts that
/// cross the link in greater number than it bears queue there, none of them is read in time, and callers come again.
/// Any thread.
class LinkUse
{
public:
	/// A request of this node has put so much time on the link.
	void add(Duration _linkTime, Time _now);

	/// @returns link time that this node put on it within the last window.
	Duration own(Time _now) const;

	void setOthers(Duration _linkTime)
	{
		others_.store(_linkTime.micros, std::memory_order_relaxed);
	}

	/// @returns the part of the link that all nodes took within the last window; 1 is all that it bears.
	double taken(Time _now) const;

	/// Long enough for the others' word to come (two reports and the hubs' sums, 0.5 s), short enough that the link is
	/// used again soon after a burst.
	static constexpr Duration kWindow = Duration::fromMillis(1000);

private:
	static constexpr uint32_t kSlices = 8;

	/// Counts of one part of the window.
	struct Slice
	{
		std::atomic<int64_t> number{-1}; //!< Of the slice since the clock's start.
		std::atomic<int64_t> micros{0};
	};

	std::array<Slice, kSlices> slices_;
	std::atomic<int64_t> others_{0};
};

} // namespace sedgecart

#endif // SEDGECART_CORE_LINKUSE_H_HEADER_GUARD

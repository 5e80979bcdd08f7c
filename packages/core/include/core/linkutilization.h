// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_CORE_LINKUTILIZATION_H_HEADER_GUARD
#define SEDGECART_CORE_LINKUTILIZATION_H_HEADER_GUARD

#include <base/units.h>

#include <array>
#include <atomic>
#include <cstdint>

namespace sedgecart
{

/// Recent utilization of the link between data halls: of this node by its own count, of the other nodes by their last
/// reports. When a hall has lost its chain and uses layers of other halls, prompts can exceed the capacity of the link.
/// They would queue there, none would be prefilled in time, and callers would retry. Thread-safe.
class LinkUtilization
{
public:
	/// Adds the transmission time of a request of this node.
	void add(Duration _transmissionTime, Time _now);

	/// @returns the transmission time of this node's requests within the last window.
	Duration own(Time _now) const;

	void setOthers(Duration _transmissionTime)
	{
		others_.store(_transmissionTime.micros, std::memory_order_relaxed);
	}

	/// @returns the utilization of the link by all nodes within the last window; 1 is its full capacity.
	double total(Time _now) const;

	/// Long enough for the reports of the other nodes to arrive (two reports and the sums of the hubs take 0.5 s),
	/// short enough that the link is used again soon after a burst.
	static constexpr Duration kWindow = Duration::fromMillis(1000);

private:
	static constexpr uint32_t kSlices = 8;

	/// Counter of one slice of the window.
	struct Slice
	{
		std::atomic<int64_t> number{-1}; //!< Index of the slice since the epoch of the clock.
		std::atomic<int64_t> micros{0};
	};

	std::array<Slice, kSlices> slices_;
	std::atomic<int64_t> others_{0};
};

} // namespace sedgecart

#endif // SEDGECART_CORE_LINKUTILIZATION_H_HEADER_GUARD

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_CORE_RECENTDURATIONS_H_HEADER_GUARD
#define SEDGECART_CORE_RECENTDURATIONS_H_HEADER_GUARD

#include <base/units.h>

#include <cstddef>
#include <vector>

namespace sedgecart
{

/// The most recent observed durations, with quantiles near their maximum. The values are stored individually: quantiles
/// are computed only during a shutdown, and a histogram would round them and need a rule for aging.
class RecentDurations
{
public:
	/// Allocates the space for all values, so that `add` never allocates.
	RecentDurations();

	void add(Duration _span);

	/// @returns true once there are enough values for `exceededByOneIn` to be used without an initial estimate.
	bool hasEnough() const;

	/// @returns the number of stored values.
	std::size_t size() const
	{
		return durations_.size();
	}

	/// @returns a duration that at most one in `_count` values exceeds; 0 if there are no values.
	Duration exceededByOneIn(std::size_t _count) const;

	/// Maximum number of stored values: those of a few seconds on a busy node, of which one in a hundred is several
	/// values.
	static constexpr std::size_t kMaxDurations = 512;

	/// Minimum number of values for an estimate: fewer could all come from one target.
	static constexpr std::size_t kMinDurations = 32;

private:
	std::vector<Duration> durations_; //!< Ring buffer once it is full.
	std::size_t next_ = 0;            //!< Index of the oldest value of the ring.
};

} // namespace sedgecart

#endif // SEDGECART_CORE_RECENTDURATIONS_H_HEADER_GUARD

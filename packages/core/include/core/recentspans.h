// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_CORE_RECENTSPANS_H_HEADER_GUARD
#define SEDGECART_CORE_RECENTSPANS_H_HEADER_GUARD

#include <base/units.h>

#include <cstddef>
#include <vector>

namespace sedgecart
{

/// The newest of some observed spans of time, and what few of them exceed. They
/// are kept as they are: the high end is asked for only at a stop, and a
/// histogram would round it and need a rule for what it forgets.
class RecentSpans
{
public:
	void add(Duration _span);

	/// @returns true once `high` stands on enough spans to do without what is
	/// supposed at first.
	bool enough() const;

	/// @returns a span that at most one in so many exceeds; 0 if none was observed.
	Duration exceededByOneIn(std::size_t _count) const;

	/// Spans that are kept: some seconds of a busy node's, at which one in a
	/// hundred is several.
	static constexpr std::size_t kKept = 512;

	/// Fewer spans than these may all be of one target.
	static constexpr std::size_t kEnough = 32;

private:
	std::vector<Duration> spans_; //!< A ring once it is full.
	std::size_t next_ = 0;        //!< Of the ring: the oldest.
};

} // namespace sedgecart

#endif // SEDGECART_CORE_RECENTSPANS_H_HEADER_GUARD

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <core/recentspans.h>

#include <algorithm>

namespace sedgecart
{

void RecentSpans::add(Duration _span)
{
	if (spans_.size() < kKept)
	{
		spans_.push_back(_span);
		return;
	}
	spans_[next_] = _span;
	next_ = (next_ + 1) % kKept;
}

bool RecentSpans::enough() const
{
	return kEnough <= spans_.size();
}

Duration RecentSpans::exceededByOneIn(std::size_t _count) const
{
	if (spans_.empty())
	{
		return Duration{};
	}
	std::vector<Duration> sorted = spans_;
	const std::size_t above = sorted.size() / _count;
	const auto place = sorted.end() - 1 - static_cast<std::ptrdiff_t>(above);
	std::nth_element(sorted.begin(), place, sorted.end());
	return *place;
}

} // namespace sedgecart

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <core/recentdurations.h>

#include <algorithm>

namespace sedgecart
{

RecentDurations::RecentDurations()
{
	durations_.reserve(kMaxDurations);
}

void RecentDurations::add(Duration _span)
{
	if (durations_.size() < kMaxDurations)
	{
		durations_.push_back(_span);
		return;
	}
	durations_[next_] = _span;
	next_ = (next_ + 1) % kMaxDurations;
}

bool RecentDurations::hasEnough() const
{
	return kMinDurations <= durations_.size();
}

Duration RecentDurations::exceededByOneIn(std::size_t _count) const
{
	if (durations_.empty())
	{
		return Duration{};
	}
	std::vector<Duration> sorted = durations_;
	const std::size_t above = sorted.size() / _count;
	const auto place = sorted.end() - 1 - static_cast<std::ptrdiff_t>(above);
	std::nth_element(sorted.begin(), place, sorted.end());
	return *place;
}

} // namespace sedgecart

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <core/recentmaximum.h>

#include <algorithm>

namespace sedgecart
{

void RecentMaximum::add(double _value)
{
	current_ = std::max(current_, _value);
	++count_;
	if (kGroupSize == count_)
	{
		last_ = current_;
		current_ = 0;
		count_ = 0;
		++groups_;
	}
}

double RecentMaximum::maximum() const
{
	return std::max(current_, last_);
}

} // namespace sedgecart

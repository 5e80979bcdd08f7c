// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <core/unreportedload.h>

#include <algorithm>

namespace sedgecart
{

void UnreportedLoad::add(uint32_t _own, uint32_t _reported)
{
	const auto own = static_cast<double>(_own);
	const auto reported = static_cast<double>(_reported);
	change_ += own - reported;
	variance_ += own + reported; // requests start and end at random, so that a count has its own value as variance
}

double UnreportedLoad::estimate(double _own, double _reported) const
{
	return std::max(0.0, _own - _reported) * peers_ * weight();
}

double UnreportedLoad::weight() const
{
	if (change_ <= 0)
	{
		return 0;
	}
	const double square = change_ * change_;
	return square / (square + variance_);
}

} // namespace sedgecart

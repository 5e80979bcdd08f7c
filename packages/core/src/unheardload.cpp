// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <core/unheardload.h>

#include <algorithm>

namespace sedgecart
{

void UnheardLoad::count(uint32_t _own, uint32_t _heard)
{
	const auto own = static_cast<double>(_own);
	const auto heard = static_cast<double>(_heard);
	change_ += own - heard;
	spread_ += own + heard; // requests come and end by chance, so that a count spreads by its root
}

double UnheardLoad::at(double _own, double _heard) const
{
	return std::max(0.0, _own - _heard) * peers_ * weight();
}

double UnheardLoad::weight() const
{
	if (change_ <= 0)
	{
		return 0;
	}
	const double square = change_ * change_;
	return square / (square + spread_);
}

} // namespace sedgecart

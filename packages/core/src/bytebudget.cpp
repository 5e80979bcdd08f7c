// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <core/bytebudget.h>

#include <algorithm>

namespace sedgecart
{

namespace
{

constexpr double kMicrosPerSecond = 1e6;

} // namespace

ByteBudget::ByteBudget(double _perSecond) : perSecond_(_perSecond)
{
}

bool ByteBudget::tryTake(std::size_t _bytes, Time _now)
{
	const double max = perSecond_ * static_cast<double>(kBurst.micros) / kMicrosPerSecond;
	const double elapsed = static_cast<double>((_now - updatedAt_).micros) / kMicrosPerSecond;
	available_ = 0 == updatedAt_.micros ? max : std::min(max, available_ + elapsed * perSecond_);
	updatedAt_ = _now;
	if (available_ <= 0)
	{
		return false;
	}
	available_ -= static_cast<double>(_bytes);
	return true;
}

} // namespace sedgecart

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <admission/returnplanner.h>

namespace sedgecart
{

void ReturnPlanner::setForecast(const StepTokens&, Time)
{
}

std::optional<Duration> ReturnPlanner::expectedIn(uint64_t, uint32_t, Time) const
{
	return std::nullopt;
}

std::optional<Duration> ReturnPlanner::planReturn(uint64_t, uint32_t, Time, RandomI&)
{
	return std::nullopt;
}

StepTokens ReturnPlanner::promised(Time) const
{
	return StepTokens{};
}

} // namespace sedgecart

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <core/reportschedule.h>

#include <algorithm>

namespace sedgecart
{

void ReportSchedule::setHallSize(std::size_t _nodes)
{
	const std::size_t nodes = std::max(kFullRateNodes, _nodes);
	const Duration pause{kStep.micros * static_cast<int64_t>(nodes) / static_cast<int64_t>(kFullRateNodes)};
	pause_ = std::min(kMaxPause, pause);
}

/// A report goes with the step that completes the pause, also if its timer was a little early.
bool ReportSchedule::isDue(bool _changed, Time _now) const
{
	const Duration least{pause_.micros - kStep.micros / 10};
	return _changed || kStep.micros == pause_.micros || !(_now < reportedAt_ + least);
}

} // namespace sedgecart

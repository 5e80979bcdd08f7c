// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <admission/releasetimeline.h>

namespace sedgecart
{

void ReleaseTimeline::add(uint64_t, Time)
{
}

void ReleaseTimeline::remove(uint64_t, Time)
{
}

StepTokens ReleaseTimeline::released(Time) const
{
	return StepTokens{};
}

} // namespace sedgecart

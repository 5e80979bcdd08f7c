// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <demand/recenttokens.h>

#include <algorithm>

namespace sedgecart
{

void RecentTokens::add(uint64_t _tokens, uint32_t _urgency, Time _now)
{
	newest_ = std::max<int64_t>(0, _now.micros / kStep.micros);
	Step& step = steps_[static_cast<std::size_t>(newest_) % kSteps];
	if (step.number != newest_)
	{
		step = Step{newest_, UrgencyTokens{}};
	}
	step.tokens[_urgency] += _tokens;
}

void RecentTokens::subtract(uint64_t _tokens, uint32_t _urgency)
{
	uint64_t& counted = steps_[static_cast<std::size_t>(newest_) % kSteps].tokens[_urgency];
	counted -= std::min(counted, _tokens);
}

UrgencyTokens RecentTokens::sum(Duration _window, Time _now) const
{
	const int64_t current = _now.micros / kStep.micros;
	const int64_t oldest = current - (_window.micros + kStep.micros - 1) / kStep.micros;
	UrgencyTokens sum{};
	for (const Step& step : steps_)
	{
		const bool counts = 0 <= step.number && oldest < step.number && step.number <= current;
		for (std::size_t urgency = 0; counts && urgency < kUrgencies; ++urgency)
		{
			sum[urgency] += step.tokens[urgency];
		}
	}
	return sum;
}

} // namespace sedgecart

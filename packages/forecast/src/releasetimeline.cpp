// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <forecast/releasetimeline.h>

#include <forecast/slottokens.h>

#include <algorithm>

namespace sedgecart
{

void ReleaseTimeline::add(uint64_t _tokens, Time _endsAt)
{
	if (0 < _tokens)
	{
		const std::lock_guard<std::mutex> lock(mutex_);
		tokens_[slotOf(_endsAt)] += _tokens;
	}
}

void ReleaseTimeline::remove(uint64_t _tokens, Time _endsAt)
{
	const std::lock_guard<std::mutex> lock(mutex_);
	const auto row = tokens_.find(slotOf(_endsAt));
	if (tokens_.end() == row)
	{
		return;
	}
	row->second -= std::min(_tokens, row->second);
	if (0 == row->second)
	{
		tokens_.erase(row);
	}
}

StepTokens ReleaseTimeline::released(Time _now) const
{
	const int64_t first = slotOf(_now);
	StepTokens steps{};
	const std::lock_guard<std::mutex> lock(mutex_);
	const auto end = tokens_.lower_bound(first + kForecastSlots);
	for (auto row = tokens_.lower_bound(first); end != row; ++row)
	{
		steps[static_cast<std::size_t>((row->first - first) / kSlotsPerStep)] += row->second;
	}
	return steps;
}

bool ReleaseTimeline::isEmpty() const
{
	const std::lock_guard<std::mutex> lock(mutex_);
	return tokens_.empty();
}

} // namespace sedgecart

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <forecast/slottokens.h>

#include <algorithm>
#include <limits>

namespace sedgecart
{

namespace
{

constexpr int64_t kMaxTokens = std::numeric_limits<int64_t>::max() / (1LL << 16);

int64_t clamped(uint64_t _tokens)
{
	return static_cast<int64_t>(std::min(_tokens, static_cast<uint64_t>(kMaxTokens)));
}

/// @returns a step's part of one of its slots.
int64_t slotPart(int64_t _stepTokens, int64_t _slotInStep)
{
	const int64_t even = _stepTokens / kSlotsPerStep;
	return kSlotsPerStep - 1 == _slotInStep ? _stepTokens - even * _slotInStep : even;
}

std::size_t indexOf(int64_t _slot)
{
	return static_cast<std::size_t>(_slot) % SlotTokens::kSlots;
}

} // namespace

int64_t slotOf(Time _time)
{
	const int64_t slot = _time.micros / kSlot.micros;
	return _time.micros % kSlot.micros < 0 ? slot - 1 : slot;
}

Time endOf(int64_t _slot)
{
	return Time{(_slot + 1) * kSlot.micros};
}

StepRow StepRow::fromSteps(const StepTokens& _tokens, Time _from)
{
	StepRow row;
	row.firstSlot = slotOf(_from);
	std::transform(_tokens.begin(), _tokens.end(), row.tokens.begin(), clamped);
	return row;
}

StepRow StepRow::fromCumulative(const StepTokens& _tokens, Time _from)
{
	StepRow row;
	row.firstSlot = slotOf(_from);
	int64_t before = 0;
	for (std::size_t step = 0; step < kForecastSteps; ++step)
	{
		const int64_t until = clamped(_tokens[step]);
		row.tokens[step] = until - before;
		before = until;
	}
	return row;
}

int64_t StepRow::at(int64_t _slot) const
{
	const int64_t slot = _slot - firstSlot;
	const bool isCovered = 0 <= slot && slot < kForecastSlots;
	return isCovered ? slotPart(tokens[static_cast<std::size_t>(slot / kSlotsPerStep)], slot % kSlotsPerStep) : 0;
}

int64_t StepRow::sum(int64_t _first, int64_t _last) const
{
	const int64_t last = std::min(_last, firstSlot + kForecastSlots - 1);
	int64_t sum = 0;
	for (int64_t slot = std::max(_first, firstSlot); slot <= last; ++slot)
	{
		sum += at(slot);
	}
	return sum;
}

void SlotTokens::add(const StepRow& _row, int64_t _sign)
{
	for (int64_t slot = _row.firstSlot; slot < _row.firstSlot + kForecastSlots; ++slot)
	{
		tokens_[indexOf(slot)] += _sign * _row.at(slot);
	}
}

int64_t SlotTokens::sum(int64_t _first, int64_t _last) const
{
	const int64_t first = std::max(_first, _last - static_cast<int64_t>(kSlots) + 1);
	int64_t sum = 0;
	for (int64_t slot = first; slot <= _last; ++slot)
	{
		sum += tokens_[indexOf(slot)];
	}
	return sum;
}

} // namespace sedgecart

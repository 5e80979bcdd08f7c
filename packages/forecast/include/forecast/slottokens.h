// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_FORECAST_SLOTTOKENS_H_HEADER_GUARD
#define SEDGECART_FORECAST_SLOTTOKENS_H_HEADER_GUARD

#include <base/units.h>
#include <demand/servicedemand.h>

#include <array>
#include <cstddef>
#include <cstdint>

namespace sedgecart
{

/// Resolution of timelines, and slots of a forecast step.
constexpr Duration kSlot = Duration::fromMillis(100);
constexpr int64_t kSlotsPerStep = kForecastStep.micros / kSlot.micros;

/// Number of slots from now on that forecasts cover.
constexpr int64_t kForecastSlots = kSlotsPerStep * static_cast<int64_t>(kForecastSteps);

/// @returns the slot that contains a time.
int64_t slotOf(Time _time);

/// @returns when a slot ends.
Time endOf(int64_t _slot);

/// Tokens that are added in each of consecutive steps; negative where a cumulative value falls.
struct StepRow
{
	int64_t firstSlot = 0;
	std::array<int64_t, kForecastSteps> tokens{};

	static StepRow fromSteps(const StepTokens& _tokens, Time _from);
	static StepRow fromCumulative(const StepTokens& _tokens, Time _from);

	/// @returns the tokens of a slot. Those of a step are spread evenly over its slots, the remainder is in the last
	/// one.
	int64_t at(int64_t _slot) const;

	/// @returns the sum of a range of slots, the last one included.
	int64_t sum(int64_t _first, int64_t _last) const;
};

/// Sum of many rows by slot. Rows must be removed before their slots are reused.
class SlotTokens
{
public:
	/// Slots before they are reused: 12.8 s.
	static constexpr std::size_t kSlots = 128;

	/// @param _sign 1 to add the row, -1 to remove it.
	void add(const StepRow& _row, int64_t _sign);

	/// @returns the sum of a range of slots, the last one included; at most kSlots are counted.
	int64_t sum(int64_t _first, int64_t _last) const;

private:
	std::array<int64_t, kSlots> tokens_{};
};

} // namespace sedgecart

#endif // SEDGECART_FORECAST_SLOTTOKENS_H_HEADER_GUARD

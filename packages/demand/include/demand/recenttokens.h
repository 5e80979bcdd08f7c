// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_DEMAND_RECENTTOKENS_H_HEADER_GUARD
#define SEDGECART_DEMAND_RECENTTOKENS_H_HEADER_GUARD

#include <base/units.h>
#include <demand/servicedemand.h>

#include <array>
#include <cstddef>
#include <cstdint>

namespace sedgecart
{

/// Tokens admitted in the last two seconds by urgency, in steps of 100 ms. Constant memory and time however many
/// requests there are.
class RecentTokens
{
public:
	/// Longest time that sums are kept for.
	static constexpr Duration kWindow = Duration::fromMillis(2000);

	void add(uint64_t _tokens, uint32_t _urgency, Time _now);

	/// Takes tokens out again; those that are already older than the window are ignored.
	void subtract(uint64_t _tokens, uint32_t _urgency);

	/// @param _window rounded up to whole steps.
	/// @returns the tokens admitted within the time before now.
	UrgencyTokens sum(Duration _window, Time _now) const;

private:
	static constexpr Duration kStep = Duration::fromMillis(100);
	static constexpr std::size_t kSteps = 20;
	static_assert(kWindow.micros == static_cast<int64_t>(kSteps) * kStep.micros, "the steps fill the window");

	struct Step
	{
		int64_t number = -1; //!< Steps since the start of the clock; negative: none.
		UrgencyTokens tokens{};
	};

	std::array<Step, kSteps> steps_{};
	int64_t newest_ = 0; //!< Number of the step that was added to last.
};

} // namespace sedgecart

#endif // SEDGECART_DEMAND_RECENTTOKENS_H_HEADER_GUARD

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_ADMISSION_RETURNPLANNER_H_HEADER_GUARD
#define SEDGECART_ADMISSION_RETURNPLANNER_H_HEADER_GUARD

#include <admission/servicedemand.h>
#include <base/random.h>
#include <base/units.h>

#include <cstdint>
#include <optional>

namespace sedgecart
{

/// Chooses when refused callers of a service return, by the forecast of free capacity. The forecast is set by the
/// control thread, the rest is called by the request thread.
class ReturnPlanner
{
public:
	/// Sets this node's share of the expected free capacity.
	/// @param _forecast cumulative, by step.
	/// @param _from when the first step begins.
	void setForecast(const StepTokens& _forecast, Time _from);

	/// @returns the time until so many tokens are expected to be free for a request of this urgency; none if they are
	/// not within the forecast, or if there is no forecast.
	std::optional<Duration> expectedIn(uint64_t _tokens, uint32_t _urgency, Time _now) const;

	/// Chooses the Retry-After of a refused request and counts the promise.
	/// @returns none if there is no forecast.
	std::optional<Duration> planReturn(uint64_t _tokens, uint32_t _urgency, Time _now, RandomI& _random);

	/// @returns the tokens of the callers that were told to return in each step from now on.
	StepTokens promised(Time _now) const;
};

} // namespace sedgecart

#endif // SEDGECART_ADMISSION_RETURNPLANNER_H_HEADER_GUARD

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

/// \file
/// Package `forecast`: when capacity becomes free, and when refused callers return. `ReleaseTimeline` collects the
/// expected ends of a node's requests, `CapacityForecast` divides the sum among the nodes of a hall, `ReturnPlanner`
/// chooses times to return.

#ifndef SEDGECART_FORECAST_RETURNPLANNER_H_HEADER_GUARD
#define SEDGECART_FORECAST_RETURNPLANNER_H_HEADER_GUARD

#include <base/random.h>
#include <base/units.h>
#include <demand/servicedemand.h>
#include <forecast/slottokens.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <optional>

namespace sedgecart
{

class ReleaseTimeline;
class WaitingTokens;

/// Chooses when refused callers of a service return, by the forecast of free capacity. Addresses refused callers that
/// all return at once and find targets full again. The forecast is set by the control thread, the rest is called by any
/// thread. Without a valid forecast the node's own releases are its part of the free capacity, as they are if all nodes
/// of the hall behave alike.
class ReturnPlanner
{
public:
	/// Without releases and waiting requests of a node; nothing is known until a forecast is set.
	ReturnPlanner() = default;

	/// Both arguments must outlive this object.
	ReturnPlanner(const ReleaseTimeline& _releases, const WaitingTokens& _waiting);

	/// Sets this node's part of the expected free capacity, which covers its waiting requests and promises. Valid for
	/// 1.5 s. A forecast of zeros says that nothing becomes free; an answer without forecast must not be set.
	/// @param _forecast cumulative, by step.
	/// @param _from when the first step begins: when the answer arrived.
	void setForecast(const StepTokens& _forecast, Time _from);

	/// @returns false if nothing is known of the free capacity to come: no valid forecast, and no running request.
	bool hasForecast(Time _now) const;

	/// @returns the time until so many tokens are expected to be free for a request of this urgency; none if they are
	/// not within the forecast, or if there is no forecast.
	std::optional<Duration> expectedIn(uint64_t _tokens, uint32_t _urgency, Time _now) const;

	/// Chooses the Retry-After of a refused request and counts the promise until its time has passed.
	/// @returns 100 ms to 7.5 s; none if there is no forecast.
	std::optional<Duration> planReturn(uint64_t _tokens, uint32_t _urgency, Time _now, RandomI& _random);

	/// @returns the tokens of the callers that were told to return in each step from now on.
	StepTokens promised(Time _now) const;

private:
	/// Promises of a slot.
	struct Slot
	{
		int64_t number = 0;
		UrgencyTokens tokens{};
	};

	/// Covers promises of 7.5 s and those made under a forecast that is still valid.
	static constexpr std::size_t kSlots = 128;

	bool isValid(Time _now) const;
	std::optional<StepRow> capacity(Time _now) const;
	std::optional<int64_t> firstSlotWithRoom(const StepRow& _capacity, uint64_t _tokens, uint32_t _urgency,
	                                         int64_t _earliest) const;
	int64_t promisedIn(int64_t _slot, uint32_t _urgency) const;
	void addPromise(int64_t _slot, uint32_t _urgency, uint64_t _tokens);

	const ReleaseTimeline* releases_ = nullptr;
	const WaitingTokens* waiting_ = nullptr;
	mutable std::mutex mutex_; //!< Held for one decision, so that a forecast and the promises under it agree.
	std::optional<StepRow> forecast_;
	Time forecastFrom_;
	std::array<Slot, kSlots> promises_{};
};

} // namespace sedgecart

#endif // SEDGECART_FORECAST_RETURNPLANNER_H_HEADER_GUARD

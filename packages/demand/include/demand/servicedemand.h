// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

/// \file
/// Package `demand`: what the nodes and the hub of a hall tell each other about prioritized services. A service is
/// prioritized if its streams have several urgencies. Pure, like `leases`, `forecast` and `admission`, which decide by
/// it: no I/O, the time is passed in. docs/design/admission.md has the parts.

#ifndef SEDGECART_DEMAND_SERVICEDEMAND_H_HEADER_GUARD
#define SEDGECART_DEMAND_SERVICEDEMAND_H_HEADER_GUARD

#include <base/units.h>

#include <array>
#include <cstddef>
#include <cstdint>

namespace sedgecart
{

/// Urgencies are 0, the most urgent, to 9.
constexpr std::size_t kUrgencies = 10;

/// Tokens by urgency.
using UrgencyTokens = std::array<uint64_t, kUrgencies>;

/// Steps of a forecast, from now on.
constexpr std::size_t kForecastSteps = 10;
constexpr Duration kForecastStep = Duration::fromMillis(500);

/// Tokens by step of a forecast.
using StepTokens = std::array<uint64_t, kForecastSteps>;

/// What a node needs of a prioritized service and what it has promised, as it reports it to the hub of its hall.
struct ServiceDemand
{
	uint64_t leaseUsed = 0;   //!< Tokens admitted under leases since the node started.
	uint64_t leaseLimit = 0;  //!< Value of `leaseUsed` up to which the node may admit.
	uint64_t leaseAnswer = 0; //!< Number of the last report whose answer the node applied; 0: none.
	UrgencyTokens waiting{};  //!< Tokens of requests that wait for capacity.
	UrgencyTokens recent{};   //!< Tokens of requests admitted in the last second.
	StepTokens released{};    //!< Tokens of requests that are expected to end in a step.
	StepTokens promised{};    //!< Tokens of refused callers that were told to return in a step.
};

/// @returns the sum over all urgencies; saturates.
uint64_t totalTokens(const UrgencyTokens& _tokens);

} // namespace sedgecart

#endif // SEDGECART_DEMAND_SERVICEDEMAND_H_HEADER_GUARD

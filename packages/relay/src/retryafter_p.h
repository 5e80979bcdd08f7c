// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_RELAY_RETRYAFTER_P_H_HEADER_GUARD
#define SEDGECART_RELAY_RETRYAFTER_P_H_HEADER_GUARD

#include <base/units.h>

namespace sedgecart
{

struct ErrorResponse;
struct Refusal;
struct RelayContext;
struct RelayPlan;

/// @returns true if refusals of the request use the forecast of free capacity.
bool usesForecast(const RelayContext& _context, const RelayPlan& _plan);

/// Chooses the Retry-After of a refusal, and counts the promise of a request that was refused for lack of capacity.
/// @returns 0 if a retry cannot succeed.
Duration chooseRetryAfter(const RelayContext& _context, const RelayPlan& _plan, const ErrorResponse& _answer,
                          const Refusal& _refusal);

} // namespace sedgecart

#endif // SEDGECART_RELAY_RETRYAFTER_P_H_HEADER_GUARD

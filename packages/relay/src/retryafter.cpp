// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "retryafter_p.h"

#include "answerforwarder_p.h"
#include "relayplan_p.h"

#include <base/clock.h>
#include <base/errorkind.h>
#include <fleet/fleetview.h>
#include <metrics/metrics.h>
#include <relay/relaycontext.h>
#include <settings/mechanisms.h>

#include <algorithm>

namespace sedgecart
{

namespace
{

/// Default Retry-After of a refusal: about the duration of a request at a target, so that capacity may be free again.
constexpr Duration kRetryAfter = Duration::fromMillis(250);

/// @returns true if the request may be served once capacity is free.
bool lacksCapacity(ErrorKind::Enum _kind)
{
	return ErrorKind::Overloaded == _kind || ErrorKind::TargetRefused == _kind || ErrorKind::NoTargets == _kind;
}

std::shared_ptr<ServiceAccount> accountOf(const RelayContext& _context, const RelayPlan& _plan)
{
	const RcuCell<FleetView>::Reader view(_context.cell.view);
	const auto row = view->services.find(_plan.service);
	return view->services.end() == row ? nullptr : row->second->account;
}

/// @returns none if nothing is known of the capacity to come.
std::optional<Duration> planReturn(const RelayContext& _context, const RelayPlan& _plan, uint64_t _tokens)
{
	const std::shared_ptr<ServiceAccount> account = accountOf(_context, _plan);
	const std::optional<Duration> planned =
	    account ? account->returns.planReturn(_tokens, _plan.urgency, _context.clock.now(), _context.random)
	            : std::nullopt;
	if (planned)
	{
		_context.metrics.add(Counter::ReturnsPromised);
	}
	return planned;
}

} // namespace

bool usesForecast(const RelayContext& _context, const RelayPlan& _plan)
{
	return _plan.isPrioritized && _context.mechanisms.isEnabled(Mechanism::CapacityForecast);
}

Duration chooseRetryAfter(const RelayContext& _context, const RelayPlan& _plan, const ErrorResponse& _answer,
                          const Refusal& _refusal)
{
	if (!_answer.retry)
	{
		return Duration{};
	}
	const Duration usual = _refusal.retryAfter.value_or(kRetryAfter);
	if (!usesForecast(_context, _plan) || !lacksCapacity(_answer.kind))
	{
		return usual;
	}
	const std::optional<Duration> planned = planReturn(_context, _plan, _refusal.tokens);
	// Where all targets announced when they accept requests again, capacity that is free earlier is of no use.
	const Duration retryAfter = planned ? std::max(*planned, _refusal.retryAfter.value_or(*planned)) : usual;
	_context.metrics.observe(Timing::RetryAfter, retryAfter);
	return retryAfter;
}

} // namespace sedgecart

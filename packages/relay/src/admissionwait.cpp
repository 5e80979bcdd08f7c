// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "admissionwait_p.h"

#include "capacitywait_p.h"
#include "relayplan_p.h"
#include "requestpath_p.h"

#include <admission/serviceaccount.h>
#include <base/clock.h>
#include <logging/logging.h>
#include <metrics/metrics.h>
#include <queueing/admissioncontroller.h>
#include <settings/mechanisms.h>

#include <algorithm>

namespace sedgecart
{

namespace
{

/// Objective of the first event if the route states none: callers abandon a stream after a gap of two seconds, and a
/// fifth of a second is left for the delivery, as in CapacityWait.
constexpr Duration kDefaultObjective = Duration::fromMillis(1800);

/// The part of an objective that the expected time to the first event uses at most, as a divisor. Under overload that
/// time can exceed the objective; requests still wait then, since the wait of others shortens the queues of targets.
constexpr int64_t kMaxExpectedDivisor = 2;

bool waitsInQueue(const RelayContext& _context, const RelayPlan& _plan)
{
	return _plan.isPrioritized && _context.mechanisms.isEnabled(Mechanism::UrgencyAdmission);
}

} // namespace

AdmissionWait::AdmissionWait(const RelayContext& _context, const RelayPlan& _plan, RequestPath& _path,
                             CapacityWait& _wait)
    : context_(_context),
      plan_(_plan),
      path_(_path),
      wait_(_wait),
      account_(waitsInQueue(_context, _plan) ? _context.admission.findAccount(_plan.service) : nullptr)
{
}

RequestTraits AdmissionWait::traitsOf(const RelayContext& _context, const RelayPlan& _plan)
{
	RequestTraits traits = _plan.facts;
	traits.mayQueue = waitsInQueue(_context, _plan) && nullptr != _context.admission.findAccount(_plan.service);
	return traits;
}

uint64_t AdmissionWait::tokens() const
{
	return std::max<uint64_t>(1, path_.reservedTokens());
}

bool AdmissionWait::takeTokens()
{
	grant_ = account_->lease.tryTake(tokens(), std::min<uint32_t>(plan_.urgency, kUrgencies - 1), context_.clock.now());
	return grant_.has_value();
}

void AdmissionWait::giveBackTokens()
{
	if (grant_)
	{
		account_->lease.giveBack(*grant_);
		grant_.reset();
	}
}

SendOutcome::Enum AdmissionWait::choosePath(bool _isReroute)
{
	if (hasPath_)
	{
		hasPath_ = false;
		return SendOutcome::Started;
	}
	if (!isControlled() || wasAdmitted_ || path_.isHandedOver())
	{
		return path_.choose(_isReroute);
	}
	if (context_.admission.hasWaiting(plan_.service) || !takeTokens())
	{
		return SendOutcome::NoCapacity;
	}
	const SendOutcome::Enum outcome = path_.choose(_isReroute);
	wasAdmitted_ = SendOutcome::Started == outcome;
	if (!wasAdmitted_)
	{
		giveBackTokens();
		return outcome;
	}
	context_.admission.charge(plan_.service, plan_.customer, plan_.urgency, tokens());
	return outcome;
}

ReserveOutcome::Enum AdmissionWait::reserve(bool _hasBegun)
{
	path_.readmitExpired();
	if (!takeTokens() && !_hasBegun)
	{
		return ReserveOutcome::NoTokens;
	}
	hasPath_ = SendOutcome::Started == path_.choose(_hasBegun);
	if (hasPath_)
	{
		return ReserveOutcome::Reserved;
	}
	giveBackTokens();
	return path_.hasExclusions() ? ReserveOutcome::Excluded : ReserveOutcome::NoCapacity;
}

Time AdmissionWait::startBy(Time _from, Duration _objective) const
{
	const Duration expected = context_.admission.expectedFirstEvent(plan_.service, plan_.caller.promptTokens);
	return _from + (_objective - std::min(expected, Duration{_objective.micros / kMaxExpectedDivisor}));
}

PendingRequest AdmissionWait::pending(bool _hasBegun, Time _lastEventAt) const
{
	const Duration objective = _hasBegun ? plan_.pauseObjective : plan_.objective;
	const Time from = _hasBegun ? std::max(plan_.arrivedAt, _lastEventAt) : plan_.arrivedAt;
	PendingRequest request;
	request.customer = plan_.customer;
	request.urgency = std::min<uint32_t>(plan_.urgency, kUrgencies - 1);
	request.tokens = tokens();
	request.hasBegun = _hasBegun;
	request.arrivedAt = plan_.arrivedAt;
	request.startBy = std::min(startBy(from, 0 < objective.micros ? objective : kDefaultObjective), plan_.deadline);
	request.expiresAt = _hasBegun ? context_.clock.now() + wait_.timeLeft(_lastEventAt) : request.startBy;
	return request;
}

bool AdmissionWait::push(const std::weak_ptr<AdmissionWaiterI>& _waiter, bool _hasBegun, Time _lastEventAt)
{
	hasPath_ = false;
	giveBackTokens();
	request_ = pending(_hasBegun, _lastEventAt);
	const std::optional<std::size_t> ahead = context_.admission.push(plan_.service, account_, request_, _waiter);
	if (!ahead)
	{
		return false;
	}
	isQueued_ = true;
	wait_.beginQueued();
	if (!_hasBegun)
	{
		context_.metrics.add(Counter::AdmissionWaits);
		logWait(request_, *ahead);
	}
	return true;
}

void AdmissionWait::logWait(const PendingRequest& _request, std::size_t _ahead) const
{
	const Duration slack = _request.startBy - context_.clock.now();
	logEvent(LogPart::Requests, LogLevel::Info, "Request waits for capacity.",
	         {{"service", plan_.service},
	          {"urgency", std::to_string(_request.urgency)},
	          {"customer", _request.customer},
	          {"ahead", std::to_string(_ahead)},
	          {"tokens", std::to_string(_request.tokens)},
	          {"slack_ms", std::to_string(slack.millis())}},
	         plan_.caller.id);
}

/// A stream that has begun waits until a target continues it (RequestRelay::endCapacityWait).
void AdmissionWait::onAdmitted()
{
	isQueued_ = false;
	wasAdmitted_ = true;
	if (request_.hasBegun)
	{
		return;
	}
	wait_.onResumed();
	context_.metrics.add(Counter::AdmissionAdmitted);
	logEvent(LogPart::Requests, LogLevel::Info, "Request is admitted after a wait.",
	         {{"service", plan_.service},
	          {"urgency", std::to_string(request_.urgency)},
	          {"waited_ms", std::to_string(wait_.totalDuration().millis())}},
	         plan_.caller.id);
}

void AdmissionWait::onWaitEnded(WaitEnd::Enum _reason)
{
	isQueued_ = false;
	if (WaitEnd::Displaced == _reason)
	{
		context_.metrics.add(Counter::AdmissionDisplaced);
		logEvent(LogPart::Requests, LogLevel::Info, "Request is displaced by a more urgent one.",
		         {{"service", plan_.service},
		          {"urgency", std::to_string(request_.urgency)},
		          {"waited_ms", std::to_string(wait_.totalDuration().millis())}},
		         plan_.caller.id);
	}
	else if (WaitEnd::Expired == _reason && !request_.hasBegun)
	{
		context_.metrics.add(Counter::AdmissionExpired);
	}
}

void AdmissionWait::onSent()
{
	grant_.reset(); // the load of the targets shows them from now on
}

void AdmissionWait::onProgress(uint64_t _events, Time _lastProgressAt)
{
	if (isControlled() && 0 == _events)
	{
		context_.admission.onFirstEvent(plan_.service, plan_.caller.promptTokens,
		                                context_.clock.now() - _lastProgressAt);
	}
}

void AdmissionWait::end()
{
	if (!isControlled() || hasEnded_)
	{
		return;
	}
	hasEnded_ = true;
	giveBackTokens();
	if (isQueued_)
	{
		context_.admission.remove(plan_.service, request_.id);
		isQueued_ = false;
	}
	context_.admission.onRequestEnded(plan_.service);
}

} // namespace sedgecart

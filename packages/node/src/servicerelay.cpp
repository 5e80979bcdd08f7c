// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "servicerelay_p.h"

#include "admission_p.h"
#include "caller_p.h"
#include "claimlog_p.h"
#include "context_p.h"
#include "control_p.h"
#include "reply_p.h"
#include "stopstate_p.h"

#include <base/config.h>
#include <base/digest.h>
#include <logging/logging.h>
#include <target/httpplainservice.h>

namespace sedgecart
{

namespace
{

constexpr int64_t kBusyRetryAfterMillis = 500;
constexpr uint16_t kTooManyRequests = 429;

/// Joins the strings with a byte that cannot occur in a header, so that different calls have different digests.
std::string digestOf(const std::string& _a, const std::string& _b, const std::string& _c)
{
	const char separator = '\0';
	return sha256Hex(_a + separator + _b + separator + _c);
}

} // namespace

ServiceRelay::ServiceRelay(const NodeContext& _context, const Caller& _caller, const ServiceRequest& _request)
    : context_(_context),
      caller_(_caller),
      request_(_request)
{
}

HttpReply ServiceRelay::run()
{
	context_.retries.earn();
	const bool claimed = !request_.idempotencyKey.empty() && !caller_.route.repeatable;
	return claimed ? runClaimed() : answer(dispatch());
}

HttpReply ServiceRelay::runClaimed()
{
	const Time startedAt = context_.clock.now();
	const ClaimRecord claim = claimRecord(ClaimVerb::Claim);
	const Result<ClaimResult> result = context_.claims.claim(claim);
	context_.metrics.observe(Timing::Claim, context_.clock.now() - startedAt);
	if (!result.has_value())
	{
		return fail(result.error());
	}
	if (!result.value().won)
	{
		return replyFromClaim(result.value().entry);
	}
	if (caller_.deadline < context_.clock.now())
	{
		context_.claims.recordOutcome(claimRecord(ClaimVerb::Abandon));
		return fail(Error{ErrorKind::DeadlineTooShort, {}, {}});
	}
	const Result<ServiceOutcome> outcome = dispatch();
	recordOutcome(outcome);
	return answer(outcome);
}

HttpReply ServiceRelay::replyFromClaim(const ClaimEntry& _entry)
{
	if (_entry.fingerprint != claimRecord(ClaimVerb::Claim).fingerprint)
	{
		return fail(Error{ErrorKind::ClaimMismatch, {}, {}});
	}
	if (ClaimState::Complete == _entry.state && _entry.outcome.truncated)
	{
		return fail(Error{ErrorKind::ClaimOutcomeLost, {}, {}});
	}
	if (ClaimState::Complete == _entry.state)
	{
		HttpReply reply;
		reply.status = _entry.outcome.status;
		reply.contentType = _entry.outcome.contentType;
		reply.body = _entry.outcome.body;
		reply.headers.push_back({"Sedgecart-Request", caller_.requestId});
		reply.headers.push_back({"Sedgecart-Kept", "yes"});
		return reply;
	}
	const bool running = ClaimState::Claimed == _entry.state && isClaimantAlive(_entry.claimant);
	return fail(Error{running ? ErrorKind::ClaimInProgress : ErrorKind::ClaimUnknown, {}, {}});
}

bool ServiceRelay::isClaimantAlive(const std::string& _claimant) const
{
	const std::string incarnation = _claimant.substr(0, _claimant.find('-'));
	return incarnation == context_.incarnation.text() ||
	       context_.control.withBoard(
	           [&incarnation](const Blackboard& _board)
	           {
		           for (const auto& node : _board.members.nodes)
		           {
			           if (node.second.live && node.second.report.incarnation == incarnation)
			           {
				           return true;
			           }
		           }
		           return false;
	           });
}

Result<ServiceOutcome> ServiceRelay::dispatch()
{
	while (true)
	{
		const Result<Chain> chain = context_.admission.acquire(submission());
		if (!chain.has_value())
		{
			return chain.error();
		}
		Result<ServiceOutcome> outcome = callOn(chain.value());
		context_.admission.release(chain.value());
		if (!outcome.has_value() || ServiceState::Answered == outcome.value().state)
		{
			return outcome;
		}
		const std::optional<Error> error = onCallFailed(outcome.value(), chain.value());
		if (error)
		{
			return *error;
		}
		context_.metrics.add(refusedByTarget_ ? Counter::TurnedAway : Counter::Retries);
	}
}

Result<ServiceOutcome> ServiceRelay::callOn(const Chain& _chain)
{
	const Time now = context_.clock.now();
	if (caller_.deadline < now)
	{
		return Error{ErrorKind::DeadlineTooShort, {}, {}};
	}
	const ChainStage& stage = _chain.stages.front();
	context_.registry.setChain(caller_.requestId, stage.name);
	++attempts_;
	ServiceCall call;
	call.address = stage.address;
	call.method = request_.method;
	call.path = request_.path;
	call.contentType = request_.contentType;
	call.body = request_.body;
	call.request = caller_.requestId;
	call.key = request_.idempotencyKey;
	call.timeout = caller_.deadline - now;
	HttpPlainService service(context_.stop.cut());
	ServiceOutcome outcome = service.call(call);
	if (ServiceState::Answered == outcome.state)
	{
		context_.control.targets().onSuccess(stage.target);
		context_.limiter.onSuccess(stage.target, stage.slots);
		context_.metrics.observe(Timing::Request, context_.clock.now() - caller_.startedAt);
	}
	return outcome;
}

std::optional<Error> ServiceRelay::onCallFailed(const ServiceOutcome& _outcome, const Chain& _chain)
{
	const TargetHandle target = _chain.stages.front().target;
	refusedByTarget_ = ServiceState::Refused == _outcome.state && kTooManyRequests == _outcome.status;
	if (refusedByTarget_)
	{
		// A full target is not a fault: the call keeps its queue position and waits again, up to its maximum wait.
		context_.limiter.onRefusal(target, context_.clock.now());
		context_.control.targets().markFull(target, _chain.stages.front().slots);
		--attempts_;
		return std::nullopt;
	}
	const bool lost = ServiceState::Lost == _outcome.state;
	if (context_.stop.areRequestsCut())
	{
		return Error{lost ? ErrorKind::StoppedRunning : ErrorKind::Stopping, {}, {}};
	}
	avoided_.push_back(target);
	context_.control.targets().onFailure(target, context_.clock.now());
	logLine(LogPart::Requests, LogLevel::Warning,
	        "Call to " + _chain.stages.front().name + " got no response: " + _outcome.detail + ".", caller_.requestId);
	const bool isSafeToRepeat = !lost || caller_.route.repeatable;
	if (isSafeToRepeat && attempts_ < SEDGECART_CONFIG_MAX_ATTEMPTS && context_.retries.spend())
	{
		return std::nullopt;
	}
	if (lost)
	{
		return Error{ErrorKind::TargetLost, {}, {}};
	}
	return Error{ErrorKind::TargetRefused, {}, Duration::fromMillis(kBusyRetryAfterMillis)};
}

void ServiceRelay::recordOutcome(const Result<ServiceOutcome>& _outcome)
{
	if (!_outcome.has_value())
	{
		const bool notRun = Executed::No == responseOf(_outcome.error().kind).executed;
		context_.claims.recordOutcome(claimRecord(notRun ? ClaimVerb::Abandon : ClaimVerb::Unknown));
		return;
	}
	ClaimRecord record = claimRecord(ClaimVerb::Complete);
	const ServiceOutcome& outcome = _outcome.value();
	record.outcome.status = outcome.status;
	record.outcome.contentType = outcome.contentType;
	record.outcome.truncated = SEDGECART_CONFIG_MAX_KEPT_BODY_BYTES < outcome.body.size();
	record.outcome.body = record.outcome.truncated ? std::string() : outcome.body;
	context_.claims.recordOutcome(record);
}

HttpReply ServiceRelay::answer(const Result<ServiceOutcome>& _outcome)
{
	if (!_outcome.has_value())
	{
		return fail(_outcome.error());
	}
	HttpReply reply;
	reply.status = _outcome.value().status;
	reply.contentType = _outcome.value().contentType;
	reply.body = _outcome.value().body;
	reply.headers.push_back({"Sedgecart-Request", caller_.requestId});
	return reply;
}

HttpReply ServiceRelay::fail(const Error& _error)
{
	context_.metrics.addError(_error.kind);
	logLine(LogPart::Requests, LogLevel::Info, std::string("Failed: ") + responseOf(_error.kind).name + ".",
	        caller_.requestId);
	return errorReply(_error, caller_.requestId);
}

ClaimRecord ServiceRelay::claimRecord(ClaimVerb::Enum _verb) const
{
	ClaimRecord record;
	// The digest includes the customer, so that no customer can read another's outcome by guessing its key.
	record.key = digestOf(caller_.customer, caller_.route.name, request_.idempotencyKey);
	record.claimant = caller_.requestId;
	record.fingerprint = digestOf(request_.method, request_.path, request_.body);
	record.verb = _verb;
	return record;
}

Submission ServiceRelay::submission() const
{
	Submission result;
	result.route = caller_.route.name;
	result.customer = caller_.customer;
	result.weight = caller_.weight;
	result.deadline = caller_.deadline;
	result.plan.excluded = avoided_;
	result.refusedByTarget = refusedByTarget_;
	result.since = caller_.startedAt;
	return result;
}

} // namespace sedgecart

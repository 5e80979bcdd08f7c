// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "answerforwarder_p.h"

#include "relayplan_p.h"
#include "retryafter_p.h"
#include "urgencycount_p.h"

#include <base/clock.h>
#include <loads/pathwatch.h>
#include <metrics/metrics.h>
#include <ports/wireformat.h>
#include <relay/relaycontext.h>

#include <algorithm>

namespace sedgecart
{

namespace
{

/// Maximum unsent backlog of a caller, bytes; a caller that exceeds it is reset.
constexpr std::size_t kMaxBacklog = 4UL * 1024 * 1024;

} // namespace

AnswerForwarder::AnswerForwarder(const RelayContext& _context, const RelayPlan& _plan, const RelayLog& _log,
                                 std::shared_ptr<ServerConnection> _caller)
    : context_(_context),
      plan_(_plan),
      log_(_log),
      caller_(std::move(_caller))
{
}

void AnswerForwarder::forwardHead(const MessageHead& _head)
{
	ResponseStart start;
	start.status = _head.status;
	start.headers = context_.wire.callerHeaders(_head.headers);
	start.framing = BodyFraming::Chunked;
	caller_->start(start, std::string_view());
}

bool AnswerForwarder::forwardPiece(std::string_view _bytes)
{
	lastForwardedAt_ = context_.clock.now();
	caller_->send(_bytes);
	return caller_->backlog() <= kMaxBacklog;
}

void AnswerForwarder::resetCaller()
{
	caller_->abort();
}

void AnswerForwarder::forwardEnd(uint16_t _status)
{
	context_.metrics.add(Counter::Answers);
	log_.forwarded(_status, times_);
	countAnswer(context_.metrics, plan_, times_);
	caller_->finish();
}

void AnswerForwarder::forwardWhole(const MessageHead& _head, const std::string& _body)
{
	context_.metrics.add(Counter::Answers);
	times_.firstAt = context_.clock.now();
	log_.forwarded(_head.status, times_);
	countAnswer(context_.metrics, plan_, times_);
	ResponseStart start;
	start.status = _head.status;
	start.headers = context_.wire.callerHeaders(_head.headers);
	start.noBody = "HEAD" == plan_.request->head.method;
	start.length = _body.size();
	caller_->start(start, _body);
	caller_->finish();
}

void AnswerForwarder::refuse(const ErrorResponse& _answer, const Refusal& _refusal)
{
	const Duration retryAfter = chooseRetryAfter(context_, plan_, _answer, _refusal);
	std::vector<LogField> more;
	if (usesForecast(context_, plan_))
	{
		more.push_back({"retry_after_ms", std::to_string(retryAfter.millis())});
		more.push_back({"urgency", std::to_string(plan_.urgency)});
	}
	log_.refused(_answer.name, _refusal.atFault, std::move(more));
	ResponseStart start;
	start.status = _answer.status;
	start.headers = context_.wire.routerHeaders(plan_.caller.id, retryAfter);
	if (plan_.wasHandedOver && Executed::No == _answer.executed &&
	    context_.cell.isCutOff.load(std::memory_order_relaxed))
	{
		context_.wire.addNotExecuted(start.headers); // another node may still reach a target
	}
	caller_->start(start, std::string_view());
	caller_->finish();
	countRefusal(context_.metrics, plan_);
}

void AnswerForwarder::breakOff()
{
	context_.metrics.add(Counter::BrokenStreams);
	caller_->abort();
}

Duration AnswerForwarder::recordProgress(uint64_t _events, Time _resumedAt)
{
	const Time now = context_.clock.now();
	Duration pause;
	if (0 == _events)
	{
		times_.firstAt = now;
		context_.metrics.observe(Timing::FirstToken, now - plan_.arrivedAt);
	}
	else
	{
		pause = now - times_.lastAt;
		if (!(times_.lastAt < _resumedAt)) // a wait for capacity says nothing about the speed of targets
		{
			context_.watch.recordGap(pause);
		}
		times_.longestPause = std::max(times_.longestPause, pause);
	}
	times_.lastAt = now;
	return pause;
}

} // namespace sedgecart

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

/// \file
/// What a request does with the responses of its targets.

#include "requestrelay_p.h"

#include "targetprobation_p.h"

#include <base/clock.h>
#include <core/serviceresponsetimes.h>
#include <crash/crashdetector.h>
#include <loads/reachabilitymonitor.h>
#include <metrics/metrics.h>
#include <relay/targetconnectionpool.h>

namespace sedgecart
{

namespace
{

/// Largest answer that is buffered before it is forwarded, bytes.
constexpr std::size_t kMaxBuffered = 16UL * 1024 * 1024;

/// Largest error body of an answer that names no request, bytes. No target sends one; a node's own refusals are short.
constexpr std::size_t kMaxUnidentified = 64UL * 1024;

constexpr uint16_t kFirstServerError = 500;
constexpr uint16_t kUnavailable = 503;

} // namespace

void RequestRelay::onSent(const RelaySend& _send)
{
	admission_.onSent();
	if (_send.isNewConnection && !_send.isToPeer)
	{
		context_.reachability.onConnected(_send.target.record.incarnation());
	}
	if (isCurrent(_send))
	{
		machine_.onSent();
	}
}

HeadVerdict::Enum RequestRelay::onHead(RelaySend& _send, MessageHead& _head)
{
	TargetResponse answer = context_.wire.parseResponse(_head);
	if (!answer.id.empty() && plan_.caller.id != answer.id)
	{
		context_.metrics.add(Counter::SurplusAnswers);
		logOutcome("Surplus answer is discarded.", LogLevel::Info, answer.id);
		return HeadVerdict::Skip;
	}
	if (answer.isInvalid)
	{
		return HeadVerdict::Reject; // nothing in it is to be trusted, neither that the request did not run
	}
	if (!_send.isToPeer)
	{
		notices_.apply(_send.target, answer);
	}
	_send.answer = std::move(answer);
	_send.head = std::move(_head);
	if (_send.hasSucceeded() && (!_send.answer.isSigned || _send.answer.id.empty()))
	{
		return HeadVerdict::Reject; // no caller may get it, so its body is not read, which may have no end
	}
	const bool accepted = isCurrent(_send) || (_send.hasSucceeded() && machine_.onSuspectedSendProgress());
	if (accepted)
	{
		const bool isFinal = _send.isToPeer && !_send.answer.isSigned && kUnavailable == _send.head.status;
		machine_.onHead(ResponseHead{_send.head.status, _send.answer.notExecuted && !_send.isToPeer, isFinal});
		endCapacityWait();
	}
	return HeadVerdict::Accept;
}

void RequestRelay::onBody(RelaySend& _send, std::string_view _bytes)
{
	_send.receivedBytes += _bytes.size();
	if (_send.answer.id.empty() && kMaxUnidentified < _send.receivedBytes)
	{
		_send.close();
		onBroken(_send, ExchangeFailure::Rejected);
		return;
	}
	if (!isCurrent(_send) && (!_send.hasSucceeded() || !machine_.onSuspectedSendProgress()))
	{
		return; // body of an error answer to the suspected send
	}
	if (machine_.forwarding())
	{
		recordProgress();
		machine_.onBody(_bytes);
		if (resumeSlot_ && 0 < machine_.events())
		{
			resumeSlot_->onEvent();
		}
		if (!_send.hasBegun && _send.eventsBefore < machine_.events())
		{
			_send.hasBegun = true;
			context_.crashes.onBegun(plan_.promptParts);
		}
		responseTimes().recordEvents(mark_, machine_.events(), forwarder_.lastReceivedAt());
		path_.onEvents(machine_.lastEvent());
		finishIfDone();
		return;
	}
	_send.body.append(_bytes);
	if (kMaxBuffered < _send.body.size())
	{
		cancelSend();
		machine_.onSendFailed(SendFailure::Broken);
		finishIfDone();
	}
}

/// Records the arrival of bytes, and logs a pause that exceeds the stream's objective.
void RequestRelay::recordProgress()
{
	const Duration pause = forwarder_.recordProgress(machine_.events(), capacityWait_.resumedAt());
	admission_.onProgress(machine_.events(), send_->lastProgressAt);
	send_->lastProgressAt = context_.clock.now();
	if (0 < plan_.pauseObjective.micros && plan_.pauseObjective < pause)
	{
		context_.metrics.observe(Timing::Pause, pause);
		logOutcome("Stream paused for too long.", LogLevel::Info, std::to_string(pause.millis()) + " ms");
	}
}

ResponseTimeEstimator& RequestRelay::responseTimes()
{
	return context_.answerDurations.of(plan_.service);
}

void RequestRelay::recordDuration()
{
	if (RequestKind::Stream != plan_.facts.kind)
	{
		responseTimes().recordCall(context_.clock.now() - plan_.arrivedAt);
	}
}

void RequestRelay::onWhole(RelaySend& _send)
{
	if (!isCurrent(_send) && (!_send.hasSucceeded() || !machine_.onSuspectedSendProgress()))
	{
		machine_.onSuspectedSendEnded(_send.answer.notExecuted);
		return;
	}
	if (machine_.forwarding() && machine_.isInsideEvent())
	{
		onBroken(_send, ExchangeFailure::ConnectionLost); // the end of an unframed stream looks the same after a crash
		return;
	}
	// An unsigned answer of another node is its own refusal, and no target has run the request.
	const bool isFromTarget = !_send.isToPeer || _send.answer.isSigned;
	if (!_send.answer.notExecuted && !machine_.forwarding() && isFromTarget)
	{
		context_.crashes.onAnswered(plan_.identity);
	}
	if (_send.hasSucceeded() && !machine_.forwarding())
	{
		context_.crashes.onBegun(plan_.promptParts);
	}
	if (_send.hasSucceeded())
	{
		_send.target.load->worthlessInRow.store(0, std::memory_order_relaxed);
	}
	path_.release();
	releaseConnection(_send);
	if (_send.isToPeer && _send.answer.notExecuted)
	{
		context_.metrics.add(Counter::HandoversDeclined);
		failureHandler_.onDeclined();
		machine_.onHandoverDeclined();
		finishIfDone();
		return;
	}
	if (_send.answer.notExecuted)
	{
		failureHandler_.onFailure(_send.answer, "not_executed");
	}
	else if (kFirstServerError <= _send.head.status)
	{
		path_.exclude(path_.head()); // a repeat goes to another target
	}
	machine_.onComplete();
	finishIfDone();
}

/// Returns the connection of a completed send to the pool.
void RequestRelay::releaseConnection(RelaySend& _send)
{
	std::unique_ptr<TargetConnection> connection = _send.takeConnection();
	if (!_send.hasSucceeded() && !plan_.facts.isRepeatable())
	{
		connection->recordAnswer(plan_.caller.id, plan_.deadline, context_.clock.now());
	}
	context_.pool.release(path_.head().record, std::move(connection), path_.maxIdleConnections());
}

void RequestRelay::onBroken(RelaySend& _send, ExchangeFailure::Enum _how)
{
	if (isUnsent(_how) && !_send.isToPeer)
	{
		context_.reachability.onUnreachable(_send.target.record.incarnation());
	}
	const bool mayHaveCrashed = !isUnsent(_how) && ExchangeFailure::Rejected != _how;
	if (mayHaveCrashed && !_send.answer.notExecuted)
	{
		recordLostRun(_send, _send.target);
	}
	if (!isCurrent(_send))
	{
		machine_.onSuspectedSendEnded(false);
		return;
	}
	path_.release();
	const bool isWorthless = ExchangeFailure::Malformed == _how || ExchangeFailure::Rejected == _how;
	if (isWorthless && !_send.isToPeer)
	{
		TargetProbation::recordWorthless(context_, _send.target);
	}
	failureHandler_.onFailure(_send.answer, nameOf(_how));
	machine_.onSendFailed(isUnsent(_how) ? SendFailure::NotSent : SendFailure::Broken);
	finishIfDone();
}

} // namespace sedgecart

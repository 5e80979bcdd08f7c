// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "requestrelay_p.h"

#include <base/clock.h>
#include <core/serviceresponsetimes.h>
#include <crash/crashdetector.h>
#include <loads/pathwatch.h>
#include <metrics/metrics.h>
#include <relay/serviceretrybudgets.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <chrono>

namespace sedgecart
{

RequestRelay::RequestRelay(const RelayContext& _context, RelayPlan&& _plan, std::shared_ptr<ServerConnection> _caller,
                           std::function<void()> _onDone)
    : context_(_context),
      plan_(std::move(_plan)),
      onDone_(std::move(_onDone)),
      machine_(AdmissionWait::traitsOf(context_, plan_), *this),
      timer_(_context.loop),
      path_(context_, plan_),
      capacityWait_(context_, plan_),
      admission_(context_, plan_, path_, capacityWait_),
      log_(context_.clock, plan_, machine_, path_, capacityWait_),
      forwarder_(context_, plan_, log_, std::move(_caller)),
      failureHandler_(context_, path_, log_),
      notices_(context_),
      pathChange_(context_, plan_, path_, log_)
{
}

RequestRelay::~RequestRelay() = default;

void RequestRelay::begin()
{
	startTimer();
	mark_.start = plan_.arrivedAt;
	mark_.arrivedAt = plan_.arrivedAt;
	if (RequestKind::Stream == plan_.facts.kind && context_.mechanisms.isEnabled(Mechanism::PathWatch))
	{
		context_.watch.add(shared_from_this());
	}
	if (plan_.caller.resumeAfter)
	{
		resumeSlot_ = std::make_unique<ResumeSlot>(context_.resumes, context_.clock, plan_.pauseObjective);
	}
	if (!plan_.wasHandedOver)
	{
		context_.retries.onFirstSend(plan_.service, context_.clock.now()); // the node that handed it over counts it
	}
	machine_.start();
	finishIfDone();
}

void RequestRelay::startTimer()
{
	const Duration left = plan_.deadline - context_.clock.now();
	timer_.expires_after(std::chrono::microseconds(std::max<int64_t>(0, left.micros)));
	const std::weak_ptr<RequestRelay> weak = weak_from_this();
	timer_.async_wait(
	    [weak](const boost::system::error_code& _error)
	    {
		    const std::shared_ptr<RequestRelay> self = weak.lock();
		    if (!_error && self)
		    {
			    self->machine_.onDeadline();
			    self->finishIfDone();
		    }
	    });
}

void RequestRelay::onCallerGone()
{
	if (!machine_.done())
	{
		context_.metrics.add(Counter::CallersGone);
	}
	machine_.onCallerDisconnected();
	finishIfDone();
}

void RequestRelay::endUnanswered()
{
	machine_.onShutdown();
	finishIfDone();
}

void RequestRelay::logCutOff(Time _signal) const
{
	log_.cutOff(_signal);
}

SendOutcome::Enum RequestRelay::send(std::optional<uint64_t> _resumeAfter)
{
	if (isBlocked())
	{
		return SendOutcome::Blocked;
	}
	const SendOutcome::Enum outcome = admission_.choosePath(0 < machine_.events());
	if (SendOutcome::Started == outcome)
	{
		retire(std::move(send_));
		startSend(_resumeAfter);
	}
	return outcome;
}

SendOutcome::Enum RequestRelay::sendInParallel(std::optional<uint64_t> _resumeAfter)
{
	if (isBlocked())
	{
		return SendOutcome::Blocked;
	}
	const SendOutcome::Enum outcome = path_.chooseAlternative(0 < machine_.events());
	if (SendOutcome::Started == outcome)
	{
		retire(std::move(suspectedSend_));
		suspectedSend_ = std::move(send_);
		startSend(_resumeAfter);
	}
	return outcome;
}

/// A request that crashes each target that begins to run it must not reach another one.
bool RequestRelay::isBlocked() const
{
	return context_.crashes.blockedFor(plan_.identity, plan_.promptParts).has_value();
}

void RequestRelay::cancelSuspectedSend()
{
	path_.dropPrevious();
	retire(std::move(suspectedSend_));
}

void RequestRelay::resumeSuspectedSend()
{
	path_.restorePrevious();
	retire(std::move(send_));
	send_ = std::move(suspectedSend_);
	logOutcome("Request returns to its previous target.", LogLevel::Info, nameOf(machine_.lastFailure()));
}

/// Closes a send. It may be on the call stack, so it is destroyed from the loop.
void RequestRelay::retire(std::shared_ptr<RelaySend>&& _send)
{
	if (_send)
	{
		_send->close();
		boost::asio::post(context_.loop, [send = std::move(_send)] {});
	}
}

bool RequestRelay::hasAlternative() const
{
	return path_.hasAlternative(0 < machine_.events());
}

void RequestRelay::cancelSend()
{
	if (send_)
	{
		send_->close();
	}
	path_.release();
}

bool RequestRelay::spendRetryBudget()
{
	const RetryPurpose::Enum purpose = 0 < machine_.events() ? RetryPurpose::Started : RetryPurpose::NotStarted;
	const Time now = context_.clock.now();
	const BudgetNodes nodes = context_.cell.budgetNodes(now);
	if (!context_.retries.tryConsume(plan_.service, nodes, purpose, now))
	{
		context_.metrics.add(Counter::RetriesDenied);
		const std::optional<RetryUsage> usage = context_.retries.usageToReport(plan_.service, nodes, purpose, now);
		if (usage)
		{
			log_.retryDenied(*usage, nodes);
		}
		return false;
	}
	context_.metrics.add(Counter::Retries);
	return true;
}

void RequestRelay::forwardHead()
{
	forwarder_.forwardHead(send_->head);
}

void RequestRelay::forwardBody(std::string_view _bytes)
{
	if (!forwarder_.forwardPiece(_bytes))
	{
		abortCaller();
	}
}

/// Nobody reads the answer any more, so its target must not continue. The machine is notified from the loop, since it
/// is forwarding a piece of the answer at this point.
void RequestRelay::abortCaller()
{
	forwarder_.resetCaller();
	boost::asio::post(context_.loop,
	                  [self = shared_from_this()]
	                  {
		                  self->onCallerGone();
	                  });
}

void RequestRelay::forwardEnd()
{
	context_.crashes.onAnswered(plan_.identity);
	path_.onComplete();
	responseTimes().recordEnd(mark_, machine_.events(), plan_.caller.maxTokens, forwarder_.lastReceivedAt());
	forwarder_.forwardEnd(send_->head.status);
}

void RequestRelay::forwardResponse()
{
	recordDuration();
	forwarder_.forwardWhole(send_->head, send_->body);
}

void RequestRelay::refuse(ErrorKind::Enum _kind)
{
	const ErrorResponse& answer = responseOf(_kind);
	context_.metrics.addError(_kind);
	if (machine_.mayHaveRun())
	{
		recordDuration(); // a lower bound of its duration
	}
	const std::optional<Duration> blocked = context_.crashes.blockedFor(plan_.identity, plan_.promptParts);
	const std::string atFault = send_ ? send_->answer.atFault : std::string();
	forwarder_.refuse(answer, Refusal{blocked ? blocked : path_.untilOpen(), path_.reservedTokens(), atFault});
}

void RequestRelay::abortResponse()
{
	logOutcome("Stream is broken off.", LogLevel::Warning, nameOf(machine_.lastFailure()));
	forwarder_.breakOff();
}

void RequestRelay::logOutcome(const char* _sentence, LogLevel::Enum _level, const std::string& _cause) const
{
	log_.outcome(_sentence, _level, _cause, send_ ? send_->answer.atFault : std::string());
}

std::vector<const FleetTarget*> RequestRelay::pathTargets() const
{
	const bool watched = !machine_.done() && !machine_.waiting() && send_ && path_.hasEngine() && !send_->repathing;
	return watched ? path_.targets() : std::vector<const FleetTarget*>();
}

std::vector<const FleetTarget*> RequestRelay::confirmedTargets() const
{
	std::vector<const FleetTarget*> targets = pathTargets();
	if (!targets.empty() && send_->mayHaveRepathed)
	{
		targets.resize(1); // events may arrive over other stages, and then prove nothing about these
	}
	return targets;
}

Time RequestRelay::lastProgress() const
{
	return send_ ? send_->lastProgressAt : Time{};
}

bool RequestRelay::begun() const
{
	return send_ && send_->eventsBefore < machine_.events();
}

void RequestRelay::onTargetDead(const FleetTarget& _target)
{
	if (machine_.done() || machine_.waiting() || !send_)
	{
		return;
	}
	recordLostRun(*send_, _target);
	path_.exclude(_target);
	const bool isHead = path_.head().load == _target.load;
	if (isHead || path_.isHandedOver() || isBlocked() || !changePath(_target))
	{
		resendElsewhere(_target);
	}
}

/// Records that a run at a target ended, or was abandoned, without an answer.
void RequestRelay::recordLostRun(const RelaySend& _send, const FleetTarget& _target)
{
	const ResponseProgress place{machine_.lastEvent(), machine_.events() - _send.eventsBefore};
	context_.crashes.onRunLost(plan_.identity, plan_.promptParts, _send.runNumber, place, _target);
}

/// Resends the request elsewhere if it may be repeated. Otherwise it stays where it is: the suspicion may be wrong, and
/// closing the send would certainly end the answer.
void RequestRelay::resendElsewhere(const FleetTarget& _suspect)
{
	if (machine_.onSuspected())
	{
		return;
	}
	path_.readmit(_suspect);
	logOutcome("Request stays with a silent target.", LogLevel::Info, nameOf(machine_.noRetryReason()));
}

/// @returns false if no other path avoids the target.
bool RequestRelay::changePath(const FleetTarget& _suspect)
{
	const std::weak_ptr<RequestRelay> weak = weak_from_this();
	const std::weak_ptr<RelaySend> send = send_;
	PathChangeCallbacks callbacks;
	callbacks.isActive = [weak, send]
	{
		const std::shared_ptr<RequestRelay> self = weak.lock();
		const bool isRunning = self && !self->machine_.done() && !self->machine_.waiting();
		return isRunning && self->send_ == send.lock();
	};
	callbacks.staysOnPath = [weak, suspect = _suspect]
	{
		return weak.lock()->staysOnPath(suspect);
	};
	callbacks.onFailed = [weak, suspect = _suspect]
	{
		weak.lock()->resendElsewhere(suspect);
	};
	return pathChange_.begin(send_, callbacks);
}

/// Keeps the path if it makes progress: the suspicion was wrong then, and resending would use up one of the request's
/// runs.
bool RequestRelay::staysOnPath(const FleetTarget& _suspect)
{
	if (!context_.watch.isProgressing(*this))
	{
		return false;
	}
	path_.readmit(_suspect);
	logOutcome("Request stays on its path, which makes progress.", LogLevel::Info, _suspect.record.instance.text);
	return true;
}

void RequestRelay::finishIfDone()
{
	if (!machine_.done() || !onDone_)
	{
		return;
	}
	resumeSlot_.reset();
	timer_.cancel();
	capacityWait_.cancel();
	admission_.end();
	context_.metrics.observe(Timing::Request, context_.clock.now() - plan_.arrivedAt);
	const std::function<void()> call = std::move(onDone_);
	onDone_ = nullptr;
	call();
}

} // namespace sedgecart

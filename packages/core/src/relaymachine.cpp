// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <core/relaymachine.h>

namespace sedgecart
{

namespace
{

constexpr uint16_t kOk = 200;
constexpr uint16_t kFirstServerError = 500;

/// Sends allowed in addition to `maxRuns`: a target that refuses or cannot be reached costs the caller little time.
constexpr uint32_t kExtraSends = 3;

/// A started response whose continuation is refused goes to another target immediately, as that one may have capacity.
/// If it refuses too, the fleet is short of capacity: immediate further sends would use up all allowed sends within
/// milliseconds.
constexpr uint32_t kImmediateRefusals = 1;

constexpr const char* kNoRetryReasonNames[NoRetryReason::Count] = {
    "none",    "not_repeatable", "runs_spent", "sends_spent", "allowance_spent", "no_targets",
    "no_room", "turned_away",    "time_up",    "blocked",     "stopping",
};

constexpr const char* kFailureNames[SendFailure::Count] = {"not_sent", "broken", "silent"};

} // namespace

const char* nameOf(NoRetryReason::Enum _reason)
{
	return kNoRetryReasonNames[_reason];
}

const char* nameOf(SendFailure::Enum _failure)
{
	return kFailureNames[_failure];
}

RelayMachine::RelayMachine(const RequestTraits& _traits, RelayActionsI& _actions)
    : traits_(_traits),
      actions_(_actions),
      splitter_(_traits.resumeAfter)
{
}

/// The retry budget covers sends that reach a target after the first one; a failed connection costs nothing.
bool RelayMachine::spendRetryBudget()
{
	const bool granted = !reachedTarget_ || unusedRetryPaid_ || actions_.spendRetryBudget();
	unusedRetryPaid_ = granted && reachedTarget_;
	noRetryReason_ = granted ? NoRetryReason::None : NoRetryReason::AllowanceSpent;
	return granted;
}

void RelayMachine::start()
{
	send();
}

std::optional<uint64_t> RelayMachine::resumePoint() const
{
	return headForwarded_ ? splitter_.lastId() : traits_.resumeAfter;
}

uint64_t RelayMachine::lastEvent() const
{
	const std::optional<uint64_t> last = resumePoint();
	return last ? *last + 1 : 0;
}

void RelayMachine::recordSend()
{
	++sends_;
	beforeSend_ = RetryState{reachedTarget_, unusedRetryPaid_};
	inFlight_ = false;
	forwarding_ = false;
	head_ = ResponseHead{};
	noRetryReason_ = NoRetryReason::None;
}

uint32_t RelayMachine::sendsLeft() const
{
	const uint32_t max = traits_.maxRuns + kExtraSends;
	return sends_ < max ? max - sends_ : 0;
}

/// A request whose response has not started is refused immediately unless its traits allow it to wait: its caller can
/// retry, and nothing is lost.
bool RelayMachine::mayWait() const
{
	const bool mayRunAgain = traits_.isRepeatable() && runs_ < traits_.maxRuns;
	const bool mayRun = headForwarded_ ? mayRunAgain : traits_.mayQueue && (0 == runs_ || mayRunAgain);
	return mayRun && !suspectedSend_ && 0 < sendsLeft();
}

bool RelayMachine::waitForCapacity()
{
	waiting_ = mayWait() && actions_.waitForCapacity();
	return waiting_;
}

void RelayMachine::waitOrFail(ErrorKind::Enum _fallback)
{
	if (!waitForCapacity())
	{
		fail(_fallback);
	}
}

void RelayMachine::resend(ErrorKind::Enum _fallback)
{
	if (!spendRetryBudget())
	{
		waitOrFail(_fallback);
		return;
	}
	send();
}

bool RelayMachine::reserveRetry()
{
	const NoRetryReason::Enum waitReason = noRetryReason_;
	const bool isGranted = waiting_ && spendRetryBudget();
	noRetryReason_ = isGranted ? waitReason : noRetryReason_; // it still waits
	return isGranted;
}

void RelayMachine::onCapacityAvailable()
{
	if (done_ || !waiting_)
	{
		return;
	}
	waiting_ = false;
	resend(0 < runs_ ? ErrorKind::TargetLost : ErrorKind::TargetRefused);
}

void RelayMachine::onWaitEnded(ErrorKind::Enum _notRun)
{
	if (done_ || !waiting_)
	{
		return;
	}
	waiting_ = false;
	fail(0 < runs_ ? ErrorKind::TargetLost : _notRun);
}

void RelayMachine::send()
{
	const SendOutcome::Enum outcome = actions_.send(resumePoint());
	if (SendOutcome::Started == outcome)
	{
		recordSend();
		return;
	}
	if (SendOutcome::Blocked == outcome)
	{
		noRetryReason_ = NoRetryReason::Blocked;
		fail(0 < runs_ ? ErrorKind::TargetLost : ErrorKind::CrashesTargets);
		return;
	}
	noRetryReason_ = SendOutcome::NoCapacity == outcome ? NoRetryReason::NoCapacity : NoRetryReason::NoTargets;
	const ErrorKind::Enum notRun = SendOutcome::NoCapacity == outcome ? ErrorKind::Overloaded : ErrorKind::NoTargets;
	waitOrFail(0 < runs_ ? ErrorKind::TargetLost : notRun);
}

void RelayMachine::onSent()
{
	reachedTarget_ = true;
	unusedRetryPaid_ = false;
	inFlight_ = true;
}

void RelayMachine::onHead(const ResponseHead& _head)
{
	if (done_ || waiting_)
	{
		return;
	}
	head_ = _head;
	forwarding_ = RequestKind::Stream == traits_.kind && kOk == _head.status && !_head.notRun;
	if (forwarding_ && !headForwarded_)
	{
		cancelSuspectedSend(); // the forwarded head must come from the target whose events follow
		headForwarded_ = true;
		actions_.forwardHead();
	}
}

void RelayMachine::onBody(std::string_view _bytes)
{
	if (done_ || waiting_ || !forwarding_)
	{
		return;
	}
	const bool inSequence = splitter_.feed(_bytes, completeEvents_);
	if (!completeEvents_.empty())
	{
		cancelSuspectedSend();
		actions_.forwardBody(completeEvents_);
	}
	if (!inSequence)
	{
		actions_.cancelSend();
		onSendFailed(SendFailure::Broken);
	}
}

void RelayMachine::onComplete()
{
	if (done_ || waiting_)
	{
		return;
	}
	if (head_.notRun)
	{
		afterNotRun();
		return;
	}
	if (forwarding_)
	{
		if (!splitter_.atBoundary())
		{
			onSendFailed(SendFailure::Broken);
			return;
		}
		actions_.forwardEnd();
		finish();
		return;
	}
	if (headForwarded_)
	{
		// A target answered a continuation with an error, or another node refused it: then no target has run it.
		head_.isFinal ? afterNotRun() : afterRun(ErrorKind::StreamBroken);
		return;
	}
	const bool mayRetry =
	    kFirstServerError <= head_.status && !head_.isFinal && traits_.isRepeatable() && runs_ + 1 < traits_.maxRuns;
	if (mayRetry && spendRetryBudget())
	{
		++runs_;
		send();
		return;
	}
	if (suspectedSend_ && kFirstServerError <= head_.status)
	{
		inFlight_ = false;
		++runs_;
		resumeSuspectedSend();
		return;
	}
	actions_.forwardResponse();
	finish();
}

void RelayMachine::onSendFailed(SendFailure::Enum _failure)
{
	if (done_ || waiting_)
	{
		return;
	}
	lastFailure_ = _failure;
	if (SendFailure::NotSent == _failure || head_.notRun)
	{
		afterNotRun();
		return;
	}
	afterRun(ErrorKind::TargetLost);
}

void RelayMachine::onHandoverDeclined()
{
	if (done_ || waiting_)
	{
		return;
	}
	--sends_;
	reachedTarget_ = beforeSend_.reachedTarget;
	unusedRetryPaid_ = beforeSend_.unusedRetryPaid;
	onSendFailed(SendFailure::NotSent);
}

void RelayMachine::afterNotRun()
{
	inFlight_ = false;
	refusals_ += head_.notRun || head_.isFinal ? 1 : 0; // an unreachable target does not indicate a lack of capacity
	const ErrorKind::Enum otherwise = 0 < runs_ ? ErrorKind::TargetLost : ErrorKind::TargetRefused;
	if (0 == sendsLeft())
	{
		noRetryReason_ = NoRetryReason::SendsSpent;
		fail(otherwise);
		return;
	}
	noRetryReason_ = NoRetryReason::TurnedAway;
	if (kImmediateRefusals < refusals_ && waitForCapacity())
	{
		return;
	}
	if (kImmediateRefusals < refusals_ && traits_.mayQueue && !headForwarded_)
	{
		fail(otherwise); // the queue has no place for it, so that further sends would only fill targets that are full
		return;
	}
	resend(otherwise);
}

void RelayMachine::afterRun(ErrorKind::Enum _fallback)
{
	++runs_;
	inFlight_ = false;
	refusals_ = 0;
	const bool mayRetry = traits_.isRepeatable() && runs_ < traits_.maxRuns;
	if (!mayRetry)
	{
		noRetryReason_ = traits_.isRepeatable() ? NoRetryReason::RunsSpent : NoRetryReason::NotRepeatable;
		fail(_fallback);
		return;
	}
	splitter_.discardPartialEvent();
	resend(_fallback);
}

/// @returns true if the request may be sent to another target while the current send has not failed.
bool RelayMachine::mayFailOver()
{
	if (!inFlight_)
	{
		noRetryReason_ = NoRetryReason::SendsSpent;
		return 0 < sendsLeft();
	}
	noRetryReason_ = traits_.isRepeatable() ? NoRetryReason::RunsSpent : NoRetryReason::NotRepeatable;
	return traits_.isRepeatable() && runs_ + 1 < traits_.maxRuns && 0 < sendsLeft();
}

bool RelayMachine::onSuspected()
{
	if (done_ || waiting_ || !mayFailOver())
	{
		return false;
	}
	noRetryReason_ = NoRetryReason::NoTargets;
	if (!actions_.hasAlternative() || !spendRetryBudget())
	{
		return false;
	}
	if (SendOutcome::Started != actions_.sendInParallel(resumePoint()))
	{
		noRetryReason_ = NoRetryReason::NoTargets;
		return false;
	}
	suspectedSend_ = SuspectedSend{splitter_, head_, forwarding_};
	if (!inFlight_)
	{
		cancelSuspectedSend(); // none of its bytes has reached a target
	}
	runs_ += inFlight_ ? 1 : 0;
	lastFailure_ = SendFailure::Silent;
	splitter_.discardPartialEvent();
	recordSend();
	return true;
}

bool RelayMachine::onSuspectedSendProgress()
{
	if (done_ || !suspectedSend_)
	{
		return false;
	}
	resumeSuspectedSend();
	return true;
}

void RelayMachine::onSuspectedSendEnded(bool _notRun)
{
	if (!suspectedSend_)
	{
		return;
	}
	cancelSuspectedSend();
	runs_ -= _notRun ? 1 : 0;
}

void RelayMachine::resumeSuspectedSend()
{
	actions_.resumeSuspectedSend();
	// The suspected send becomes the current one and is no longer counted as ended; the cancelled one is, if it may
	// have run.
	runs_ -= inFlight_ ? 0 : 1;
	splitter_ = suspectedSend_->splitter;
	head_ = suspectedSend_->head;
	forwarding_ = suspectedSend_->forwarding;
	inFlight_ = true;
	noRetryReason_ = NoRetryReason::None;
	suspectedSend_.reset();
}

void RelayMachine::cancelSuspectedSend()
{
	if (suspectedSend_)
	{
		actions_.cancelSuspectedSend();
		suspectedSend_.reset();
	}
}

void RelayMachine::onCallerDisconnected()
{
	if (done_)
	{
		return;
	}
	actions_.cancelSend();
	cancelSuspectedSend();
	finish();
}

void RelayMachine::onDeadline()
{
	if (!done_)
	{
		giveUp(NoRetryReason::TimeUp, ErrorKind::DeadlinePassed, ErrorKind::DeadlineTooShort);
	}
}

void RelayMachine::onShutdown()
{
	if (!done_ && !headForwarded_)
	{
		giveUp(NoRetryReason::Stopping, ErrorKind::StoppedRunning, ErrorKind::Stopping);
	}
}

/// Cancels what runs and sends the final response.
void RelayMachine::giveUp(NoRetryReason::Enum _reason, ErrorKind::Enum _mayHaveRun, ErrorKind::Enum _notRun)
{
	const ErrorKind::Enum kind = mayHaveRun() ? _mayHaveRun : _notRun;
	noRetryReason_ = _reason;
	actions_.cancelSend();
	cancelSuspectedSend();
	fail(kind);
}

void RelayMachine::fail(ErrorKind::Enum _kind)
{
	if (suspectedSend_)
	{
		resumeSuspectedSend(); // the suspicion may be wrong, and only this send can still deliver the response
		return;
	}
	if (headForwarded_)
	{
		actions_.abortResponse();
	}
	else
	{
		actions_.refuse(_kind);
	}
	finish();
}

void RelayMachine::finish()
{
	cancelSuspectedSend();
	done_ = true;
	waiting_ = false;
	inFlight_ = false;
}

} // namespace sedgecart

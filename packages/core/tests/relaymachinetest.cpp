// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <core/relaymachine.h>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <string>
#include <vector>

namespace sedgecart
{

namespace
{

std::string event(uint64_t _id)
{
	return "id: " + std::to_string(_id) + "\ndata: piece\n\n";
}

/// Records the actions of a machine; sends have the outcome that the test sets.
class RecordedActions : public RelayActionsI
{
public:
	SendOutcome::Enum send(std::optional<uint64_t> _resumeAfter) override
	{
		resumedAfter = _resumeAfter;
		if (SendOutcome::Started == outcome)
		{
			++sends;
		}
		return outcome;
	}
	SendOutcome::Enum sendInParallel(std::optional<uint64_t> _resumeAfter) override
	{
		const SendOutcome::Enum sent = send(_resumeAfter);
		hasSuspectedSend = hasSuspectedSend || SendOutcome::Started == sent;
		parallelSends += SendOutcome::Started == sent ? 1 : 0;
		return sent;
	}
	void cancelSuspectedSend() override
	{
		hasSuspectedSend = false;
	}
	void resumeSuspectedSend() override
	{
		++resumptions;
		hasSuspectedSend = false;
	}
	bool hasAlternative() const override
	{
		return SendOutcome::Started == outcome;
	}
	void cancelSend() override
	{
		++cancels;
	}
	bool spendRetryBudget() override
	{
		retriesPaid += mayRetry ? 1 : 0;
		return mayRetry;
	}
	void forwardHead() override
	{
		++heads;
	}
	void forwardBody(std::string_view _bytes) override
	{
		body.append(_bytes);
	}
	void forwardEnd() override
	{
		++ends;
	}
	void forwardResponse() override
	{
		++responses;
	}
	void refuse(ErrorKind::Enum _kind) override
	{
		refusals.push_back(_kind);
	}
	void abortResponse() override
	{
		++aborts;
	}
	bool waitForCapacity() override
	{
		waits += mayWait ? 1 : 0;
		return mayWait;
	}

	uint32_t finalResponses() const
	{
		return ends + responses + static_cast<uint32_t>(refusals.size()) + aborts;
	}

	SendOutcome::Enum outcome = SendOutcome::Started;
	bool mayRetry = true;
	bool mayWait = false; //!< The caller is expected to stay long enough.
	uint32_t retriesPaid = 0;
	uint32_t waits = 0;
	std::optional<uint64_t> resumedAfter;
	uint32_t sends = 0;
	uint32_t cancels = 0;
	uint32_t resumptions = 0;
	uint32_t parallelSends = 0; //!< Sends that were started while another one stayed open.
	bool hasSuspectedSend = false;
	uint32_t heads = 0;
	uint32_t ends = 0;
	uint32_t responses = 0;
	uint32_t aborts = 0;
	std::string body;
	std::vector<ErrorKind::Enum> refusals;
};

RequestTraits traits(RequestKind::Enum _kind, bool _resumable, uint32_t _maxRuns)
{
	RequestTraits traits;
	traits.kind = _kind;
	traits.resumable = _resumable;
	traits.maxRuns = _maxRuns;
	return traits;
}

/// Traits of a request that may wait before its response has started.
RequestTraits queueable(RequestKind::Enum _kind, bool _resumable, uint32_t _maxRuns)
{
	RequestTraits made = traits(_kind, _resumable, _maxRuns);
	made.mayQueue = true;
	return made;
}

constexpr ResponseHead kSuccess{200, false};
constexpr ResponseHead kNotRun{503, true};
constexpr ResponseHead kFailed{500, false};

} // namespace

class RelayMachineTest : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(RelayMachineTest);
	CPPUNIT_TEST(plainResponseIsForwarded);
	CPPUNIT_TEST(atMostOnceIsNotRetriedAfterConnectionLoss);
	CPPUNIT_TEST(atMostOnceIsRetriedWhenNotRun);
	CPPUNIT_TEST(idempotentFailureIsRetried);
	CPPUNIT_TEST(lastFailureIsForwarded);
	CPPUNIT_TEST(brokenStreamResumesAfterItsLastEvent);
	CPPUNIT_TEST(gapInAContinuationIsNotForwarded);
	CPPUNIT_TEST(streamEndingWithinAnEventIsIncomplete);
	CPPUNIT_TEST(deadlineErrorTellsWhetherItMayHaveRun);
	CPPUNIT_TEST(shutdownErrorTellsWhetherItMayHaveRun);
	CPPUNIT_TEST(shutdownLeavesAResponseThatHasBegun);
	CPPUNIT_TEST(aContinuationThatAnotherNodeRefusesIsNoRun);
	CPPUNIT_TEST(exhaustedBudgetFailsImmediately);
	CPPUNIT_TEST(suspectedSendIsRetriedElsewhere);
	CPPUNIT_TEST(suspicionOfTheLastRunKeepsTheSend);
	CPPUNIT_TEST(suspicionWithoutAnotherTargetKeepsTheSend);
	CPPUNIT_TEST(suspicionWithoutBudgetKeepsTheSend);
	CPPUNIT_TEST(suspicionBeforeAnythingWasSentCostsNoRun);
	CPPUNIT_TEST(suspectedSendStaysOpenUntilTheNextDelivers);
	CPPUNIT_TEST(suspectedSendThatDeliversFirstContinues);
	CPPUNIT_TEST(suspectedSendResumesWhenAllElseFails);
	CPPUNIT_TEST(forwardedHeadCancelsTheSuspectedSend);
	CPPUNIT_TEST(retryAfterFailedConnectionNeedsNoBudget);
	CPPUNIT_TEST(retryThatReachedNoTargetIsPaidOnce);
	CPPUNIT_TEST(eventsBeforeAGapAreForwarded);
	CPPUNIT_TEST(startedStreamWaitsForCapacity);
	CPPUNIT_TEST(waitEndsWhenTheCallerWouldLeave);
	CPPUNIT_TEST(refusalsAreSpreadOverTheWait);
	CPPUNIT_TEST(unreachableTargetsAreNoLackOfCapacity);
	CPPUNIT_TEST(declinedHandoversCostNoSend);
	CPPUNIT_TEST(declinedHandoverLeavesACallUnrun);
	CPPUNIT_TEST(errorOfAnotherNodeIsNotRetried);
	CPPUNIT_TEST(startedStreamWaitsForBudget);
	CPPUNIT_TEST(retryThatWaitsIsPaidOnce);
	CPPUNIT_TEST(requestWithoutResponseDoesNotWait);
	CPPUNIT_TEST(requestThatMayNotRunAgainDoesNotWait);
	CPPUNIT_TEST(queuedRequestIsRefusedAsNotRun);
	CPPUNIT_TEST(refusedRequestReturnsToTheQueue);
	CPPUNIT_TEST(queuedRequestThatMayHaveRunIsReportedSo);
	CPPUNIT_TEST(disconnectEndsTheWait);
	CPPUNIT_TEST(deadlineEndsTheWait);
	CPPUNIT_TEST(nothingElseEndsTheWait);
	CPPUNIT_TEST(requestBlockedBeforeItRanIsReportedAsNotRun);
	CPPUNIT_TEST(requestBlockedAfterARunIsNotRetried);
	CPPUNIT_TEST(blockedStreamThatStartedIsAborted);
	CPPUNIT_TEST(anyOrderOfEventsKeepsTheInvariants);
	CPPUNIT_TEST_SUITE_END();

public:
	void requestBlockedBeforeItRanIsReportedAsNotRun()
	{
		RecordedActions actions;
		actions.outcome = SendOutcome::Blocked;
		RelayMachine machine(traits(RequestKind::Idempotent, false, 2), actions);
		machine.start();
		CPPUNIT_ASSERT(ErrorKind::CrashesTargets == actions.refusals.at(0));
		CPPUNIT_ASSERT(Executed::No == responseOf(actions.refusals.at(0)).executed);
	}

	/// The block became known while the request ran: a request that may have run must not be reported as not run.
	void requestBlockedAfterARunIsNotRetried()
	{
		RecordedActions actions;
		RelayMachine machine(traits(RequestKind::Idempotent, false, 2), actions);
		machine.start();
		machine.onSent();
		actions.outcome = SendOutcome::Blocked;
		machine.onSendFailed(SendFailure::Broken);
		CPPUNIT_ASSERT_EQUAL(1U, actions.sends);
		CPPUNIT_ASSERT(ErrorKind::TargetLost == actions.refusals.at(0));
		CPPUNIT_ASSERT(NoRetryReason::Blocked == machine.noRetryReason());
	}

	void blockedStreamThatStartedIsAborted()
	{
		RecordedActions actions;
		actions.mayWait = true;
		RelayMachine machine(traits(RequestKind::Stream, true, 2), actions);
		stream(machine);
		machine.onBody(event(0));
		actions.outcome = SendOutcome::Blocked;
		machine.onSendFailed(SendFailure::Broken);
		CPPUNIT_ASSERT_EQUAL(1U, actions.aborts);
		CPPUNIT_ASSERT_EQUAL(0U, actions.waits); // no capacity would ever be offered to it
	}

	void plainResponseIsForwarded()
	{
		RecordedActions actions;
		RelayMachine machine(traits(RequestKind::AtMostOnce, false, 1), actions);
		machine.start();
		machine.onSent();
		machine.onHead(kSuccess);
		machine.onComplete();
		CPPUNIT_ASSERT_EQUAL(1U, actions.responses);
		CPPUNIT_ASSERT(machine.done());
	}

	void atMostOnceIsNotRetriedAfterConnectionLoss()
	{
		RecordedActions actions;
		RelayMachine machine(traits(RequestKind::AtMostOnce, false, 3), actions);
		machine.start();
		machine.onSent();
		machine.onSendFailed(SendFailure::Broken);
		CPPUNIT_ASSERT_EQUAL(1U, actions.sends);
		CPPUNIT_ASSERT(ErrorKind::TargetLost == actions.refusals.at(0));
	}

	void atMostOnceIsRetriedWhenNotRun()
	{
		RecordedActions actions;
		RelayMachine machine(traits(RequestKind::AtMostOnce, false, 1), actions);
		machine.start();
		machine.onSendFailed(SendFailure::NotSent);
		CPPUNIT_ASSERT_EQUAL(2U, actions.sends);
		machine.onSent();
		machine.onHead(kNotRun);
		machine.onComplete();
		CPPUNIT_ASSERT_EQUAL(3U, actions.sends);
		CPPUNIT_ASSERT(!machine.done());
	}

	void idempotentFailureIsRetried()
	{
		RecordedActions actions;
		RelayMachine machine(traits(RequestKind::Idempotent, false, 2), actions);
		machine.start();
		machine.onSent();
		machine.onHead(kFailed);
		machine.onComplete();
		CPPUNIT_ASSERT_EQUAL(2U, actions.sends);
		CPPUNIT_ASSERT_EQUAL(0U, actions.finalResponses());
	}

	void lastFailureIsForwarded()
	{
		RecordedActions actions;
		RelayMachine machine(traits(RequestKind::Idempotent, false, 1), actions);
		machine.start();
		machine.onSent();
		machine.onHead(kFailed);
		machine.onComplete();
		CPPUNIT_ASSERT_EQUAL(1U, actions.responses);
	}

	void brokenStreamResumesAfterItsLastEvent()
	{
		RecordedActions actions;
		RelayMachine machine(traits(RequestKind::Stream, true, 2), actions);
		stream(machine);
		machine.onBody(event(0) + event(1) + "id: 2\nda");
		machine.onSendFailed(SendFailure::Broken);
		CPPUNIT_ASSERT(1 == actions.resumedAfter.value_or(99));
		stream(machine);
		machine.onBody(event(2));
		machine.onComplete();
		CPPUNIT_ASSERT_EQUAL(event(0) + event(1) + event(2), actions.body);
		CPPUNIT_ASSERT_EQUAL(1U, actions.heads);
		CPPUNIT_ASSERT_EQUAL(1U, actions.ends);
	}

	void gapInAContinuationIsNotForwarded()
	{
		RecordedActions actions;
		RelayMachine machine(traits(RequestKind::Stream, true, 2), actions);
		stream(machine);
		machine.onBody(event(0));
		machine.onSendFailed(SendFailure::Broken);
		stream(machine);
		machine.onBody(event(2));
		CPPUNIT_ASSERT_EQUAL(event(0), actions.body);
		CPPUNIT_ASSERT_EQUAL(1U, actions.aborts);
	}

	void streamEndingWithinAnEventIsIncomplete()
	{
		RecordedActions actions;
		RelayMachine machine(traits(RequestKind::Stream, false, 1), actions);
		stream(machine);
		machine.onBody(event(0) + "id: 1\n");
		machine.onComplete();
		CPPUNIT_ASSERT_EQUAL(0U, actions.ends);
		CPPUNIT_ASSERT_EQUAL(1U, actions.aborts);
	}

	void deadlineErrorTellsWhetherItMayHaveRun()
	{
		RecordedActions sent;
		RelayMachine first(traits(RequestKind::AtMostOnce, false, 1), sent);
		first.start();
		first.onSent();
		first.onDeadline();
		CPPUNIT_ASSERT(ErrorKind::DeadlinePassed == sent.refusals.at(0));
		RecordedActions unsent;
		RelayMachine second(traits(RequestKind::AtMostOnce, false, 1), unsent);
		second.start();
		second.onDeadline();
		CPPUNIT_ASSERT(ErrorKind::DeadlineTooShort == unsent.refusals.at(0));
	}

	void shutdownErrorTellsWhetherItMayHaveRun()
	{
		RecordedActions sent;
		RelayMachine first(traits(RequestKind::AtMostOnce, false, 1), sent);
		first.start();
		first.onSent();
		first.onShutdown();
		CPPUNIT_ASSERT(ErrorKind::StoppedRunning == sent.refusals.at(0));
		RecordedActions unsent;
		RelayMachine second(traits(RequestKind::AtMostOnce, false, 1), unsent);
		second.start();
		second.onShutdown();
		CPPUNIT_ASSERT(ErrorKind::Stopping == unsent.refusals.at(0));
	}

	void shutdownLeavesAResponseThatHasBegun()
	{
		RecordedActions actions;
		RelayMachine machine(traits(RequestKind::Stream, true, 2), actions);
		machine.start();
		machine.onSent();
		machine.onHead(ResponseHead{200, false, false});
		machine.onShutdown();
		CPPUNIT_ASSERT(!machine.done());
		machine.onBody(event(0));
		machine.onComplete();
		CPPUNIT_ASSERT(machine.done());
		CPPUNIT_ASSERT(actions.refusals.empty());
		CPPUNIT_ASSERT_EQUAL(0U, actions.aborts);
	}

	/// Guards against streams that end because the node that was to continue them was full.
	void aContinuationThatAnotherNodeRefusesIsNoRun()
	{
		RecordedActions actions;
		RelayMachine machine(traits(RequestKind::Stream, true, 2), actions);
		machine.start();
		stream(machine);
		machine.onBody(event(0));
		machine.onSendFailed(SendFailure::Broken);
		CPPUNIT_ASSERT_EQUAL(2U, actions.sends);
		actions.mayWait = true;
		machine.onSent();
		machine.onHead(ResponseHead{503, false, true});
		machine.onComplete();
		CPPUNIT_ASSERT_EQUAL(0U, actions.aborts);
		CPPUNIT_ASSERT(!machine.done());
	}

	void exhaustedBudgetFailsImmediately()
	{
		RecordedActions actions;
		actions.mayRetry = false;
		RelayMachine machine(traits(RequestKind::Idempotent, false, 4), actions);
		machine.start();
		machine.onSent();
		machine.onSendFailed(SendFailure::Broken);
		CPPUNIT_ASSERT_EQUAL(1U, actions.sends);
		CPPUNIT_ASSERT_EQUAL(1U, actions.finalResponses());
	}

	void suspectedSendIsRetriedElsewhere()
	{
		RecordedActions actions;
		RelayMachine machine(traits(RequestKind::Stream, true, 2), actions);
		machine.start();
		stream(machine);
		machine.onBody(event(0));
		CPPUNIT_ASSERT(machine.onSuspected());
		CPPUNIT_ASSERT_EQUAL(2U, actions.sends);
		CPPUNIT_ASSERT_EQUAL(uint64_t(0), *actions.resumedAfter);
		CPPUNIT_ASSERT(SendFailure::Silent == machine.lastFailure());
	}

	void suspicionOfTheLastRunKeepsTheSend()
	{
		RecordedActions actions;
		RelayMachine machine(traits(RequestKind::Stream, true, 2), actions);
		machine.start();
		stream(machine);
		machine.onBody(event(0));
		machine.onSendFailed(SendFailure::Broken);
		stream(machine);
		CPPUNIT_ASSERT(!machine.onSuspected());
		CPPUNIT_ASSERT(NoRetryReason::RunsSpent == machine.noRetryReason());
		machine.onBody(event(1));
		machine.onComplete();
		CPPUNIT_ASSERT_EQUAL(1U, actions.ends);
		CPPUNIT_ASSERT_EQUAL(event(0) + event(1), actions.body);
	}

	void suspicionWithoutAnotherTargetKeepsTheSend()
	{
		RecordedActions actions;
		RelayMachine machine(traits(RequestKind::Stream, true, 2), actions);
		machine.start();
		stream(machine);
		actions.outcome = SendOutcome::NoTargets;
		CPPUNIT_ASSERT(!machine.onSuspected());
		CPPUNIT_ASSERT(NoRetryReason::NoTargets == machine.noRetryReason());
		CPPUNIT_ASSERT_EQUAL(0U, actions.finalResponses() + actions.cancels);
	}

	void suspicionWithoutBudgetKeepsTheSend()
	{
		RecordedActions actions;
		RelayMachine machine(traits(RequestKind::Stream, true, 2), actions);
		machine.start();
		stream(machine);
		actions.mayRetry = false;
		CPPUNIT_ASSERT(!machine.onSuspected());
		CPPUNIT_ASSERT(NoRetryReason::AllowanceSpent == machine.noRetryReason());
		CPPUNIT_ASSERT_EQUAL(0U, actions.finalResponses() + actions.cancels);
	}

	void suspicionBeforeAnythingWasSentCostsNoRun()
	{
		RecordedActions actions;
		RelayMachine machine(traits(RequestKind::Stream, true, 1), actions);
		machine.start();
		CPPUNIT_ASSERT(machine.onSuspected());
		CPPUNIT_ASSERT(!machine.mayHaveRun());
		stream(machine);
		CPPUNIT_ASSERT(!machine.onSuspected());
	}

	void suspectedSendStaysOpenUntilTheNextDelivers()
	{
		RecordedActions actions;
		RelayMachine machine(traits(RequestKind::Stream, true, 2), actions);
		suspectAfterOneEvent(machine);
		CPPUNIT_ASSERT(actions.hasSuspectedSend);
		stream(machine);
		CPPUNIT_ASSERT(actions.hasSuspectedSend);
		machine.onBody(event(1));
		CPPUNIT_ASSERT(!actions.hasSuspectedSend);
		CPPUNIT_ASSERT(!machine.onSuspectedSendProgress());
		CPPUNIT_ASSERT_EQUAL(0U, actions.resumptions);
	}

	void suspectedSendThatDeliversFirstContinues()
	{
		RecordedActions actions;
		RelayMachine machine(traits(RequestKind::Stream, true, 2), actions);
		suspectAfterOneEvent(machine);
		stream(machine);
		CPPUNIT_ASSERT(machine.onSuspectedSendProgress());
		CPPUNIT_ASSERT(machine.forwarding());
		machine.onBody(event(1));
		CPPUNIT_ASSERT(!machine.onSuspected()); // both runs count towards the maximum
		machine.onComplete();
		CPPUNIT_ASSERT_EQUAL(event(0) + event(1), actions.body);
		CPPUNIT_ASSERT_EQUAL(1U, actions.ends);
	}

	/// The next target refuses the request, and the budget allows no more retries: only the suspected send may still
	/// deliver the response.
	void suspectedSendResumesWhenAllElseFails()
	{
		RecordedActions actions;
		RelayMachine machine(traits(RequestKind::Stream, true, 2), actions);
		suspectAfterOneEvent(machine);
		actions.mayRetry = false;
		machine.onSent();
		machine.onHead(kNotRun);
		machine.onComplete();
		CPPUNIT_ASSERT_EQUAL(1U, actions.resumptions);
		CPPUNIT_ASSERT(!machine.done());
		machine.onBody(event(1));
		machine.onComplete();
		CPPUNIT_ASSERT_EQUAL(event(0) + event(1), actions.body);
		CPPUNIT_ASSERT_EQUAL(1U, actions.finalResponses());
	}

	/// Events of one target must never follow the head of another one that ran at the same time.
	void forwardedHeadCancelsTheSuspectedSend()
	{
		RecordedActions actions;
		RelayMachine machine(traits(RequestKind::Stream, true, 2), actions);
		machine.start();
		machine.onSent();
		CPPUNIT_ASSERT(machine.onSuspected());
		CPPUNIT_ASSERT(actions.hasSuspectedSend);
		stream(machine);
		CPPUNIT_ASSERT_EQUAL(1U, actions.heads);
		CPPUNIT_ASSERT(!actions.hasSuspectedSend);
	}

	/// The retry budget limits requests that reach a target after the first: a first send whose connection failed did
	/// not reach one.
	void retryAfterFailedConnectionNeedsNoBudget()
	{
		RecordedActions actions;
		actions.mayRetry = false;
		RelayMachine machine(traits(RequestKind::Stream, true, 2), actions);
		machine.start();
		machine.onSendFailed(SendFailure::NotSent);
		CPPUNIT_ASSERT_EQUAL(2U, actions.sends);
		machine.onSent();
		machine.onSendFailed(SendFailure::Broken);
		CPPUNIT_ASSERT_EQUAL(2U, actions.sends);
		CPPUNIT_ASSERT_EQUAL(1U, actions.finalResponses());
	}

	void retryThatReachedNoTargetIsPaidOnce()
	{
		RecordedActions actions;
		RelayMachine machine(traits(RequestKind::Stream, true, 2), actions);
		machine.start();
		stream(machine);
		machine.onSendFailed(SendFailure::Broken);
		actions.mayRetry = false; // the budget is exhausted by now
		machine.onSendFailed(SendFailure::NotSent);
		CPPUNIT_ASSERT_EQUAL(3U, actions.sends);
		CPPUNIT_ASSERT_EQUAL(0U, actions.finalResponses());
	}

	/// A target delivers a valid and an out-of-sequence event in the same bytes: the stream resumes after the valid
	/// one, which must have been forwarded.
	void eventsBeforeAGapAreForwarded()
	{
		RecordedActions actions;
		RelayMachine machine(traits(RequestKind::Stream, true, 2), actions);
		machine.start();
		stream(machine);
		machine.onBody(event(0) + event(7));
		CPPUNIT_ASSERT_EQUAL(event(0), actions.body);
		CPPUNIT_ASSERT_EQUAL(2U, actions.sends);
		CPPUNIT_ASSERT_EQUAL(uint64_t(0), *actions.resumedAfter);
	}

	void startedStreamWaitsForCapacity()
	{
		RecordedActions actions;
		RelayMachine machine(traits(RequestKind::Stream, true, 2), actions);
		loseTargetWithoutCapacity(actions, machine);
		CPPUNIT_ASSERT(machine.waiting());
		CPPUNIT_ASSERT(NoRetryReason::NoCapacity == machine.noRetryReason());
		actions.outcome = SendOutcome::NoTargets;
		machine.onCapacityAvailable();
		CPPUNIT_ASSERT(machine.waiting());
		CPPUNIT_ASSERT(NoRetryReason::NoTargets == machine.noRetryReason());
		CPPUNIT_ASSERT_EQUAL(2U, actions.waits);
		CPPUNIT_ASSERT_EQUAL(1U, actions.sends);
		CPPUNIT_ASSERT_EQUAL(0U, actions.finalResponses());
		actions.outcome = SendOutcome::Started;
		machine.onCapacityAvailable();
		CPPUNIT_ASSERT(!machine.waiting());
		CPPUNIT_ASSERT(0 == actions.resumedAfter.value_or(99));
		stream(machine);
		machine.onBody(event(1));
		machine.onComplete();
		CPPUNIT_ASSERT_EQUAL(event(0) + event(1), actions.body);
		CPPUNIT_ASSERT_EQUAL(1U, actions.heads);
		CPPUNIT_ASSERT_EQUAL(1U, actions.ends);
	}

	void waitEndsWhenTheCallerWouldLeave()
	{
		RecordedActions actions;
		RelayMachine machine(traits(RequestKind::Stream, true, 2), actions);
		loseTargetWithoutCapacity(actions, machine);
		CPPUNIT_ASSERT(machine.waiting());
		actions.mayWait = false;
		machine.onCapacityAvailable();
		CPPUNIT_ASSERT_EQUAL(1U, actions.aborts);
		CPPUNIT_ASSERT(NoRetryReason::NoCapacity == machine.noRetryReason());
		CPPUNIT_ASSERT(machine.done());
		CPPUNIT_ASSERT(!machine.waiting());
	}

	/// Five refusals within milliseconds must not use up all sends: the request waits after the second and each later
	/// one.
	void refusalsAreSpreadOverTheWait()
	{
		RecordedActions actions;
		actions.mayWait = true;
		RelayMachine machine(traits(RequestKind::Stream, true, 2), actions);
		machine.start();
		stream(machine);
		machine.onBody(event(0));
		machine.onSendFailed(SendFailure::Broken);
		refuseRequest(machine);
		CPPUNIT_ASSERT_EQUAL(3U, actions.sends);
		for (uint32_t sends = 3; sends < 5; ++sends)
		{
			refuseRequest(machine);
			CPPUNIT_ASSERT_EQUAL(sends, actions.sends);
			CPPUNIT_ASSERT(machine.waiting());
			CPPUNIT_ASSERT_EQUAL(5 - sends, machine.sendsLeft());
			CPPUNIT_ASSERT(NoRetryReason::TurnedAway == machine.noRetryReason());
			machine.onCapacityAvailable();
		}
		refuseRequest(machine);
		CPPUNIT_ASSERT_EQUAL(5U, actions.sends);
		CPPUNIT_ASSERT_EQUAL(1U, actions.aborts);
		CPPUNIT_ASSERT(NoRetryReason::SendsSpent == machine.noRetryReason());
	}

	/// Two unreachable targets in a row say nothing about the capacity of a third one.
	void unreachableTargetsAreNoLackOfCapacity()
	{
		RecordedActions actions;
		actions.mayWait = true;
		RelayMachine machine(traits(RequestKind::Stream, true, 2), actions);
		machine.start();
		stream(machine);
		machine.onBody(event(0));
		machine.onSendFailed(SendFailure::Broken);
		machine.onSendFailed(SendFailure::NotSent);
		machine.onSendFailed(SendFailure::NotSent);
		CPPUNIT_ASSERT(!machine.waiting());
		CPPUNIT_ASSERT_EQUAL(4U, actions.sends);
	}

	/// Of many nodes most may be cut off like this one; each declines once.
	void declinedHandoversCostNoSend()
	{
		RecordedActions actions;
		actions.mayRetry = false;
		RelayMachine machine(traits(RequestKind::Idempotent, false, 2), actions);
		machine.start();
		constexpr uint32_t kNodes = 20;
		for (uint32_t node = 0; node < kNodes; ++node)
		{
			machine.onSent();
			machine.onHandoverDeclined();
		}
		CPPUNIT_ASSERT_EQUAL(kNodes + 1, actions.sends);
		CPPUNIT_ASSERT(!machine.mayHaveRun());
		machine.onSent();
		machine.onHead(kSuccess);
		machine.onComplete();
		CPPUNIT_ASSERT_EQUAL(1U, actions.responses);
	}

	void declinedHandoverLeavesACallUnrun()
	{
		RecordedActions actions;
		RelayMachine machine(traits(RequestKind::AtMostOnce, false, 1), actions);
		machine.start();
		machine.onSent();
		actions.outcome = SendOutcome::NoTargets;
		machine.onHandoverDeclined();
		CPPUNIT_ASSERT(std::vector<ErrorKind::Enum>{ErrorKind::NoTargets} == actions.refusals);
	}

	/// The other node has retried it already, and its refusal names when to come back.
	void errorOfAnotherNodeIsNotRetried()
	{
		RecordedActions actions;
		RelayMachine machine(traits(RequestKind::Idempotent, false, 3), actions);
		machine.start();
		machine.onSent();
		constexpr uint16_t kUnavailable = 503;
		machine.onHead(ResponseHead{kUnavailable, false, true});
		machine.onComplete();
		CPPUNIT_ASSERT_EQUAL(1U, actions.sends);
		CPPUNIT_ASSERT_EQUAL(1U, actions.responses);
	}

	void startedStreamWaitsForBudget()
	{
		RecordedActions actions;
		actions.mayWait = true;
		actions.mayRetry = false;
		RelayMachine machine(traits(RequestKind::Stream, true, 2), actions);
		machine.start();
		stream(machine);
		machine.onBody(event(0) + "id: 1\nda");
		machine.onSendFailed(SendFailure::Broken);
		CPPUNIT_ASSERT(machine.waiting());
		CPPUNIT_ASSERT(NoRetryReason::AllowanceSpent == machine.noRetryReason());
		actions.mayRetry = true;
		machine.onCapacityAvailable();
		CPPUNIT_ASSERT_EQUAL(2U, actions.sends);
		stream(machine);
		machine.onBody(event(1));
		machine.onComplete();
		CPPUNIT_ASSERT_EQUAL(event(0) + event(1), actions.body);
		CPPUNIT_ASSERT_EQUAL(1U, actions.retriesPaid);
	}

	void retryThatWaitsIsPaidOnce()
	{
		RecordedActions actions;
		RelayMachine machine(traits(RequestKind::Stream, true, 2), actions);
		loseTargetWithoutCapacity(actions, machine);
		machine.onCapacityAvailable();
		actions.mayRetry = false; // the budget is exhausted by now
		machine.onCapacityAvailable();
		CPPUNIT_ASSERT(machine.waiting());
		CPPUNIT_ASSERT(NoRetryReason::NoCapacity == machine.noRetryReason());
		actions.outcome = SendOutcome::Started;
		machine.onCapacityAvailable();
		CPPUNIT_ASSERT_EQUAL(2U, actions.sends);
		CPPUNIT_ASSERT_EQUAL(1U, actions.retriesPaid);
	}

	void requestWithoutResponseDoesNotWait()
	{
		RecordedActions actions;
		actions.mayWait = true;
		RelayMachine machine(traits(RequestKind::Stream, true, 2), actions);
		machine.start();
		machine.onSent();
		actions.outcome = SendOutcome::NoCapacity;
		machine.onSendFailed(SendFailure::Broken);
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), actions.refusals.size());
		CPPUNIT_ASSERT_EQUAL(0U, actions.waits);
	}

	void requestThatMayNotRunAgainDoesNotWait()
	{
		for (const bool resumable : {false, true})
		{
			RecordedActions actions;
			RelayMachine machine(traits(RequestKind::Stream, resumable, resumable ? 1 : 2), actions);
			loseTargetWithoutCapacity(actions, machine);
			CPPUNIT_ASSERT_EQUAL(1U, actions.aborts);
			CPPUNIT_ASSERT_EQUAL(0U, actions.waits);
		}
	}

	/// A request without capacity was refused at once, whatever its urgency and the time it had left.
	void queuedRequestIsRefusedAsNotRun()
	{
		RecordedActions actions;
		actions.mayWait = true;
		actions.outcome = SendOutcome::NoTargets;
		RelayMachine machine(queueable(RequestKind::Stream, false, 1), actions);
		machine.start();
		CPPUNIT_ASSERT(machine.waiting());
		machine.onWaitEnded(ErrorKind::Overloaded);
		CPPUNIT_ASSERT(ErrorKind::Overloaded == actions.refusals.at(0));
		machine.onWaitEnded(ErrorKind::Stopping);
		machine.onCapacityAvailable();
		CPPUNIT_ASSERT_EQUAL(1U, actions.finalResponses());
	}

	/// Two targets in a row refused it: the fleet is short of capacity, and further sends would be refused as well.
	void refusedRequestReturnsToTheQueue()
	{
		RecordedActions actions;
		actions.mayWait = true;
		RelayMachine machine(queueable(RequestKind::Stream, false, 1), actions);
		machine.start();
		refuseRequest(machine);
		CPPUNIT_ASSERT(!machine.waiting());
		refuseRequest(machine);
		CPPUNIT_ASSERT(machine.waiting());
		CPPUNIT_ASSERT_EQUAL(2U, actions.sends);
		actions.mayRetry = false;
		CPPUNIT_ASSERT(!machine.reserveRetry());
		CPPUNIT_ASSERT(machine.waiting());
		actions.mayRetry = true;
		CPPUNIT_ASSERT(machine.reserveRetry());
		machine.onCapacityAvailable();
		CPPUNIT_ASSERT_EQUAL(3U, actions.sends);
		CPPUNIT_ASSERT_EQUAL(2U, actions.retriesPaid); // once for each send after the first
		stream(machine);
		machine.onBody(event(0));
		machine.onComplete();
		CPPUNIT_ASSERT_EQUAL(1U, actions.ends);
	}

	/// A target was lost while it may have run the request, and two more refused it.
	void queuedRequestThatMayHaveRunIsReportedSo()
	{
		RecordedActions actions;
		actions.mayWait = true;
		RelayMachine machine(queueable(RequestKind::Stream, true, 2), actions);
		machine.start();
		machine.onSent();
		machine.onSendFailed(SendFailure::Broken);
		refuseRequest(machine);
		refuseRequest(machine);
		CPPUNIT_ASSERT(machine.waiting());
		CPPUNIT_ASSERT(machine.mayHaveRun());
		machine.onWaitEnded(ErrorKind::Stopping);
		CPPUNIT_ASSERT(ErrorKind::TargetLost == actions.refusals.at(0));
	}

	void disconnectEndsTheWait()
	{
		RecordedActions actions;
		RelayMachine machine(traits(RequestKind::Stream, true, 2), actions);
		loseTargetWithoutCapacity(actions, machine);
		CPPUNIT_ASSERT(machine.waiting());
		machine.onCallerDisconnected();
		actions.outcome = SendOutcome::Started;
		machine.onCapacityAvailable();
		CPPUNIT_ASSERT(machine.done());
		CPPUNIT_ASSERT(!machine.waiting());
		CPPUNIT_ASSERT_EQUAL(1U, actions.sends);
		CPPUNIT_ASSERT_EQUAL(0U, actions.finalResponses());
	}

	void deadlineEndsTheWait()
	{
		RecordedActions actions;
		RelayMachine machine(traits(RequestKind::Stream, true, 2), actions);
		loseTargetWithoutCapacity(actions, machine);
		CPPUNIT_ASSERT(machine.waiting());
		machine.onDeadline();
		actions.outcome = SendOutcome::Started;
		machine.onCapacityAvailable();
		CPPUNIT_ASSERT(NoRetryReason::TimeUp == machine.noRetryReason());
		CPPUNIT_ASSERT_EQUAL(1U, actions.sends);
		CPPUNIT_ASSERT_EQUAL(1U, actions.aborts);
	}

	/// Late events of an ended send are ignored.
	void nothingElseEndsTheWait()
	{
		RecordedActions actions;
		RelayMachine machine(traits(RequestKind::Stream, true, 2), actions);
		loseTargetWithoutCapacity(actions, machine);
		actions.outcome = SendOutcome::Started;
		CPPUNIT_ASSERT(!machine.onSuspected());
		CPPUNIT_ASSERT(!machine.onSuspectedSendProgress());
		machine.onHead(kSuccess);
		machine.onBody(event(1));
		machine.onComplete();
		machine.onSendFailed(SendFailure::Broken);
		CPPUNIT_ASSERT(machine.waiting());
		CPPUNIT_ASSERT_EQUAL(event(0), actions.body);
		CPPUNIT_ASSERT_EQUAL(1U, actions.sends);
	}

	/// A random target, caller and clock. Checks that there is at most one final response, that "not run" is reported
	/// only if true, that a request runs at most once if it must, that a stream is a prefix of the events and complete
	/// when it ends normally, that each arrival at a target except the first is paid for once, and that nothing is sent
	/// while the request waits.
	void anyOrderOfEventsKeepsTheInvariants()
	{
		CPPUNIT_ASSERT(rc::check(
		    "invariants of one request",
		    []
		    {
			    const auto kind = static_cast<RequestKind::Enum>(*rc::gen::inRange<int>(0, RequestKind::Count));
			    const bool resumable = *rc::gen::arbitrary<bool>();
			    const uint32_t maxRuns = *rc::gen::inRange<uint32_t>(1, 4);
			    const bool mayQueue = *rc::gen::arbitrary<bool>();
			    RecordedActions actions;
			    RelayMachine machine((mayQueue ? queueable : traits)(kind, resumable, maxRuns), actions);
			    RandomTarget target(actions, machine);
			    machine.start();
			    for (int step = 0; step < 40 && !machine.done(); ++step)
			    {
				    target.syncWithActions();
				    actions.mayRetry = 0 != *rc::gen::inRange<int>(0, 4);
				    actions.outcome = static_cast<SendOutcome::Enum>(
				        0 == *rc::gen::inRange<int>(0, 8) ? *rc::gen::inRange<int>(0, SendOutcome::Count) : 0);
				    actions.mayWait = *rc::gen::arbitrary<bool>();
				    if (machine.waiting())
				    {
					    RC_ASSERT(0U == actions.finalResponses() && (mayQueue || 1U == actions.heads));
					    stepWhileWaiting(machine, actions, *rc::gen::inRange<int>(0, 8));
					    continue;
				    }
				    if (0 == *rc::gen::inRange<int>(0, 5))
				    {
					    machine.onSuspected();
					    RC_ASSERT(!machine.done());
					    continue;
				    }
				    target.step(*rc::gen::inRange<int>(0, 10));
			    }
			    target.syncWithActions();
			    RC_ASSERT(actions.finalResponses() <= 1U);
			    const bool once = RequestKind::AtMostOnce == kind || (RequestKind::Stream == kind && !resumable);
			    RC_ASSERT(!once || target.runs <= 1U);
			    RC_ASSERT(target.runs <= maxRuns);
			    RC_ASSERT(target.arrivals <= actions.retriesPaid + 1);
			    RC_ASSERT(actions.retriesPaid <= target.arrivals);
			    for (const ErrorKind::Enum refusal : actions.refusals)
			    {
				    RC_ASSERT(Executed::No != responseOf(refusal).executed || 0U == target.runs);
			    }
			    std::string expected;
			    for (uint64_t id = 0; expected.size() < actions.body.size(); ++id)
			    {
				    expected += event(id);
			    }
			    RC_ASSERT(expected == actions.body);
		    }));
	}

private:
	/// Runs a stream whose target delivered one event and is then suspected to be dead.
	static void suspectAfterOneEvent(RelayMachine& _machine)
	{
		_machine.start();
		stream(_machine);
		_machine.onBody(event(0));
		CPPUNIT_ASSERT(_machine.onSuspected());
	}

	/// Runs a stream whose target fails after one event while all other targets are full.
	static void loseTargetWithoutCapacity(RecordedActions& _actions, RelayMachine& _machine)
	{
		_actions.mayWait = true;
		_machine.start();
		stream(_machine);
		_machine.onBody(event(0));
		_actions.outcome = SendOutcome::NoCapacity;
		_machine.onSendFailed(SendFailure::Broken);
	}

	static void refuseRequest(RelayMachine& _machine)
	{
		_machine.onSent();
		_machine.onHead(kNotRun);
		_machine.onComplete();
	}

	/// Applies one of the events that may happen to a waiting request.
	static void stepWhileWaiting(RelayMachine& _machine, const RecordedActions& _actions, int _choice)
	{
		const uint32_t sends = _actions.sends;
		if (0 == _choice)
		{
			_machine.onCallerDisconnected();
			_machine.onCapacityAvailable();
			RC_ASSERT(sends == _actions.sends);
			return;
		}
		if (1 == _choice)
		{
			_machine.onDeadline();
			RC_ASSERT(sends == _actions.sends);
			return;
		}
		if (2 == _choice)
		{
			RC_ASSERT(!_machine.onSuspected());
			RC_ASSERT(sends == _actions.sends);
			return;
		}
		if (3 == _choice)
		{
			_machine.onWaitEnded(ErrorKind::Overloaded);
			RC_ASSERT(_machine.done() && sends == _actions.sends);
			return;
		}
		if (4 == _choice)
		{
			_machine.reserveRetry();
			RC_ASSERT(_machine.waiting() && sends == _actions.sends);
			return;
		}
		_machine.onCapacityAvailable();
	}

	static void stream(RelayMachine& _machine)
	{
		_machine.onSent();
		_machine.onHead(kSuccess);
	}

	/// A target that does one thing in each step, in an order that a connection allows. A suspected send is paused: it
	/// continues where it stopped if the machine resumes it, and counts as run if it is cancelled after it arrived.
	class RandomTarget
	{
	public:
		RandomTarget(const RecordedActions& _actions, RelayMachine& _machine) : actions_(_actions), machine_(_machine)
		{
		}

		/// Applies the actions of the machine on the last event. Must be called after each event, as the order of a
		/// resumption and a parallel send could not be determined later.
		void syncWithActions()
		{
			if (resumptions_ != actions_.resumptions)
			{
				resumptions_ = actions_.resumptions;
				RC_ASSERT(suspected_.has_value());
				current_ = *suspected_;
				suspected_.reset();
			}
			if (parallelSends_ != actions_.parallelSends)
			{
				parallelSends_ = actions_.parallelSends;
				endSuspected();
				suspected_ = current_;
			}
			if (sends_ != actions_.sends)
			{
				sends_ = actions_.sends;
				current_ = SendState{};
				current_.next = actions_.resumedAfter ? *actions_.resumedAfter + 1 : 0;
			}
			if (!actions_.hasSuspectedSend)
			{
				endSuspected();
			}
		}

		void step(int _choice)
		{
			if (!current_.sent)
			{
				beforeSent(_choice);
				return;
			}
			current_.headSent ? afterHead(_choice) : beforeHead(_choice);
		}

		uint32_t runs = 0;
		uint32_t arrivals = 0;

	private:
		/// State of one send.
		struct SendState
		{
			uint64_t next = 0; //!< Id of the event that it delivers next.
			bool sent = false;
			bool headSent = false;
			bool ran = false;
			bool refusing = false;
		};

		void beforeSent(int _choice)
		{
			if (0 == _choice)
			{
				machine_.onSendFailed(SendFailure::NotSent);
				return;
			}
			if (1 == _choice)
			{
				machine_.onDeadline();
				return;
			}
			current_.sent = true;
			++arrivals;
			machine_.onSent();
		}

		void beforeHead(int _choice)
		{
			if (0 == _choice)
			{
				current_.headSent = true;
				current_.refusing = true;
				machine_.onHead(kNotRun);
				return;
			}
			run();
			if (1 == _choice)
			{
				machine_.onSendFailed(SendFailure::Broken);
				return;
			}
			if (2 == _choice)
			{
				machine_.onCallerDisconnected();
				return;
			}
			current_.headSent = true;
			current_.refusing = false;
			machine_.onHead(3 == _choice ? kFailed : kSuccess);
		}

		void afterHead(int _choice)
		{
			if (0 == _choice)
			{
				machine_.onSendFailed(SendFailure::Broken);
			}
			else if (1 == _choice || current_.refusing)
			{
				machine_.onComplete();
			}
			else if (2 == _choice)
			{
				machine_.onDeadline();
			}
			else
			{
				machine_.onBody(event(current_.next++));
			}
		}

		void endSuspected()
		{
			if (suspected_ && suspected_->sent && !suspected_->refusing)
			{
				runs += suspected_->ran ? 0 : 1;
			}
			suspected_.reset();
		}

		void run()
		{
			runs += current_.ran ? 0 : 1;
			current_.ran = true;
		}

		const RecordedActions& actions_;
		RelayMachine& machine_;
		uint32_t sends_ = 0;
		uint32_t parallelSends_ = 0;
		uint32_t resumptions_ = 0;
		SendState current_;
		std::optional<SendState> suspected_;
	};
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelayMachineTest);

} // namespace sedgecart

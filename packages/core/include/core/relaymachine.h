// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_CORE_RELAYMACHINE_H_HEADER_GUARD
#define SEDGECART_CORE_RELAYMACHINE_H_HEADER_GUARD

#include <base/desiredstate.h>
#include <base/errorkind.h>
#include <base/units.h>
#include <core/eventsplitter.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sedgecart
{

/// Properties of a request that decide whether and how it may be sent again.
struct RequestTraits
{
	RequestKind::Enum kind = RequestKind::AtMostOnce;
	bool resumable = false;
	uint32_t maxRuns = 1;                //!< Maximum number of targets that may run it.
	std::optional<uint64_t> resumeAfter; //!< The caller resumes a stream after the event with this id.
	bool mayQueue = false;               //!< It may wait for capacity before its response has started.

	/// @returns true if it may run more than once.
	bool isRepeatable() const
	{
		return RequestKind::Idempotent == kind || (RequestKind::Stream == kind && resumable);
	}
};

/// Result of an attempt to send a request.
struct SendOutcome
{
	enum Enum
	{
		Started,    //!< A target was chosen; its response or failure follows.
		NoTargets,  //!< No target is live, or no path covers all layers.
		NoCapacity, //!< Targets are live, but all are full.
		Blocked,    //!< The request is blocked because targets crash while they run it.

		Count
	};
};

/// Head of a target's response.
struct ResponseHead
{
	uint16_t status = 0;
	bool notRun = false;  //!< The target states that it did not run the request and will not run it.
	bool isFinal = false; //!< Another node refuses the request after its own tries; it is not sent again.
};

/// How a send failed.
struct SendFailure
{
	enum Enum
	{
		NotSent, //!< No byte reached the target.
		Broken,  //!< The connection failed; the request may have run, completely or in part.
		Silent,  //!< The target sent nothing for too long; the request may have run.

		Count
	};
};

/// Why a request is not sent again after a failed send.
struct NoRetryReason
{
	enum Enum
	{
		None,           //!< The request was sent again, or no send has failed.
		NotRepeatable,  //!< The request may have run and must not run twice.
		RunsSpent,      //!< The request has run on as many targets as its route allows.
		SendsSpent,     //!< Too many targets refused the request or could not be reached.
		AllowanceSpent, //!< The retry budget allows no retry at present.
		NoTargets,      //!< There is no other target or path.
		NoCapacity,     //!< All other targets are full.
		TurnedAway,     //!< Several targets in a row refused the request.
		TimeUp,         //!< The deadline of the request has passed.
		Blocked,        //!< The request is blocked because targets crash while they run it.
		Stopping,       //!< This node exits.

		Count
	};
};

/// @returns the name used in logs and metrics, for example "runs_spent".
const char* nameOf(NoRetryReason::Enum _reason);

/// @returns the name used in logs and metrics, for example "not_sent".
const char* nameOf(SendFailure::Enum _failure);

/// Side effects that a RelayMachine requests. Implementations must not call back into the machine.
class RelayActionsI
{
public:
	virtual ~RelayActionsI() = default;

	/// Chooses a target or path on which this request has not failed and sends the request there.
	/// @param _resumeAfter id of the event after which the stream continues.
	virtual SendOutcome::Enum send(std::optional<uint64_t> _resumeAfter) = 0;

	/// Sends as `send` does and keeps the current send open as the suspected one; an earlier suspected send is
	/// cancelled. Changes nothing if no target or path is found.
	virtual SendOutcome::Enum sendInParallel(std::optional<uint64_t> _resumeAfter) = 0;

	/// Cancels the suspected send.
	virtual void cancelSuspectedSend() = 0;

	/// Cancels the current send and makes the suspected send the current one.
	virtual void resumeSuspectedSend() = 0;

	/// @returns true if `send` would currently find a target or path.
	virtual bool hasAlternative() const = 0;

	/// Cancels the current send, so that its target stops working on it.
	virtual void cancelSend() = 0;

	/// Takes one retry from the retry budget.
	/// @returns false if the budget allows none.
	virtual bool spendRetryBudget() = 0;

	/// Forwards the head of the current response to the caller; parts of the body follow.
	virtual void forwardHead() = 0;

	virtual void forwardBody(std::string_view _bytes) = 0;

	/// Completes the response whose parts were forwarded.
	virtual void forwardEnd() = 0;

	/// Forwards the last response received, with its complete body.
	virtual void forwardResponse() = 0;

	/// Sends the caller an error response of the router itself.
	virtual void refuse(ErrorKind::Enum _kind) = 0;

	/// Aborts a response that was partly forwarded.
	virtual void abortResponse() = 0;

	/// Queues a request until a target has capacity. It occupies no target meanwhile.
	/// @returns false if its caller is not expected to stay long enough; otherwise `onCapacityAvailable` or
	/// `onWaitEnded` follows.
	virtual bool waitForCapacity() = 0;
};

/// State machine of one relayed request, from its first send to its final response. It does no I/O: it consumes events
/// and requests actions, so that tests can feed events in any order. Invariants:
/// - a request that is answered as not run was never started by a target;
/// - a request that must not be repeated is sent again only after a target stated that it did not run it;
/// - a response that has started is completed only with its last byte and is continued exactly where it stopped;
/// - while the request waits for capacity no target works on it, and nothing is sent after its caller disconnected.
class RelayMachine
{
public:
	RelayMachine(const RequestTraits& _traits, RelayActionsI& _actions);

	/// Sends the request for the first time.
	void start();

	/// Reports that bytes of the request may have reached the target.
	void onSent();

	void onHead(const ResponseHead& _head);

	/// Receives body bytes of a stream. The receiver of the response buffers those of other responses.
	void onBody(std::string_view _bytes);

	/// Reports that the target's response is complete.
	void onComplete();

	void onSendFailed(SendFailure::Enum _failure);

	/// Reports that another node declined to take the request over. The send does not count: it reached no target.
	void onHandoverDeclined();

	/// Reports that a target of the current send is suspected to be dead. The suspicion may be wrong, so it never ends
	/// the response: if the request may be sent again, it is sent to another target, and the suspected send stays open
	/// until the new one delivers data. Otherwise the current send continues.
	/// @returns true if the request was sent to another target.
	bool onSuspected();

	/// Reports that the suspected send delivered part of a successful response.
	/// @returns true if it is the current send again.
	bool onSuspectedSendProgress();

	/// Reports that the suspected send has ended.
	/// @param _notRun true if its target stated that it did not run the request.
	void onSuspectedSendEnded(bool _notRun);

	/// Takes the retry from the budget that `onCapacityAvailable` needs. It is taken once.
	/// @returns false if the request does not wait or the budget allows none; it continues to wait then.
	bool reserveRetry();

	/// Reports that a target may have capacity for a waiting request.
	void onCapacityAvailable();

	/// Reports that the wait for capacity has ended without any.
	/// @param _notRun what the caller is told if no target has run the request.
	void onWaitEnded(ErrorKind::Enum _notRun);

	/// Reports that the caller disconnected.
	void onCallerDisconnected();

	/// Reports that the deadline of the request has passed.
	void onDeadline();

	/// Reports that this node exits. A response that has begun may still be completed; otherwise the caller gets an
	/// error response.
	void onShutdown();

	/// @returns true once the final response was sent or the caller has disconnected.
	bool done() const
	{
		return done_;
	}

	/// @returns true once the head of the response was forwarded.
	bool hasBegun() const
	{
		return headForwarded_;
	}

	/// @returns true while the request waits for capacity.
	bool waiting() const
	{
		return waiting_;
	}

	/// @returns how many more sends are allowed.
	uint32_t sendsLeft() const;

	/// @returns true while the current response is forwarded as it arrives.
	bool forwarding() const
	{
		return forwarding_;
	}

	/// @returns true if the part of the stream received so far ends inside an event.
	bool isInsideEvent() const
	{
		return !splitter_.atBoundary();
	}

	/// @returns the number of complete events that were forwarded.
	uint64_t events() const
	{
		return splitter_.events();
	}

	/// @returns the number of the last complete event, counted from 1 over all attempts of the caller; 0 if there is
	/// none.
	uint64_t lastEvent() const;

	/// @returns how often the request was sent.
	uint32_t sends() const
	{
		return sends_;
	}

	/// @returns how the last send failed; meaningful only after a send has failed.
	SendFailure::Enum lastFailure() const
	{
		return lastFailure_;
	}

	/// @returns why the request is not sent again.
	NoRetryReason::Enum noRetryReason() const
	{
		return noRetryReason_;
	}

	/// @returns true if a target may have started the request.
	bool mayHaveRun() const
	{
		return 0 < runs_ || inFlight_;
	}

private:
	/// What the current send has consumed of the retry budget, as it was before it reached its peer.
	struct RetryState
	{
		bool reachedTarget = false;
		bool unusedRetryPaid = false;
	};

	/// State of a send whose target is suspected to be dead, at the time when the request was sent to another target.
	struct SuspectedSend
	{
		EventSplitter splitter;
		ResponseHead head;
		bool forwarding = false;
	};

	bool spendRetryBudget();
	bool mayFailOver();
	std::optional<uint64_t> resumePoint() const;
	void recordSend();
	bool mayWait() const;
	bool waitForCapacity();
	void send();
	void resend(ErrorKind::Enum _fallback);
	void waitOrFail(ErrorKind::Enum _fallback);
	void resumeSuspectedSend();
	void cancelSuspectedSend();
	void afterNotRun();
	void afterRun(ErrorKind::Enum _fallback);
	void giveUp(NoRetryReason::Enum _reason, ErrorKind::Enum _mayHaveRun, ErrorKind::Enum _notRun);
	void fail(ErrorKind::Enum _kind);
	void finish();

	RequestTraits traits_;
	RelayActionsI& actions_;
	EventSplitter splitter_;
	std::string completeEvents_; //!< Bytes of complete events.
	ResponseHead head_;
	uint32_t sends_ = 0;
	uint32_t runs_ = 0;     //!< Sends that may have run and have ended, including the suspected send.
	uint32_t refusals_ = 0; //!< Sends that targets refused since the last one that ran.
	std::optional<SuspectedSend> suspectedSend_;
	bool reachedTarget_ = false;   //!< At least one send has reached a target.
	bool unusedRetryPaid_ = false; //!< A retry was taken from the budget and has not reached a target yet.
	RetryState beforeSend_;
	SendFailure::Enum lastFailure_ = SendFailure::NotSent;
	NoRetryReason::Enum noRetryReason_ = NoRetryReason::None;
	bool inFlight_ = false; //!< The current send may have delivered bytes to its target.
	bool forwarding_ = false;
	bool headForwarded_ = false;
	bool waiting_ = false;
	bool done_ = false;
};

} // namespace sedgecart

#endif // SEDGECART_CORE_RELAYMACHINE_H_HEADER_GUARD

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_RELAY_REQUESTRELAY_P_H_HEADER_GUARD
#define SEDGECART_RELAY_REQUESTRELAY_P_H_HEADER_GUARD

#include "admissionwait_p.h"
#include "answerforwarder_p.h"
#include "capacitywait_p.h"
#include "pathchange_p.h"
#include "relaylog_p.h"
#include "relayplan_p.h"
#include "relaysend_p.h"
#include "requestpath_p.h"
#include "resumeslot_p.h"
#include "targetfailurehandler_p.h"
#include "targetnotices_p.h"

#include <aio/clientconnection.h>
#include <aio/serverconnection.h>
#include <aio/timer.h>
#include <core/relaymachine.h>
#include <core/responsetimeestimator.h>
#include <core/retryshare.h>
#include <loads/pathwatch.h>
#include <ports/runnerorders.h>
#include <ports/wireformat.h>
#include <queueing/admissionwaiter.h>
#include <relay/relaycontext.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace sedgecart
{

/// Executes one admitted request: performs with sockets and timers what its RelayMachine decides. Loop thread only.
class RequestRelay : public RelayActionsI,
                     public WatchedPathI,
                     public AdmissionWaiterI,
                     public std::enable_shared_from_this<RequestRelay>
{
public:
	/// @param _onDone called once, after the final answer or when the caller has gone.
	RequestRelay(const RelayContext& _context, RelayPlan&& _plan, std::shared_ptr<ServerConnection> _caller,
	             std::function<void()> _onDone);
	~RequestRelay() override;

	void begin();
	void onCallerGone();

	/// Sends an error response, unless the answer has begun: this node exits.
	void endUnanswered();

	/// Logs that shutdown ends the request before it is answered.
	/// @param _signal time of the stop signal.
	void logCutOff(Time _signal) const;

	SendOutcome::Enum send(std::optional<uint64_t> _resumeAfter) override;
	SendOutcome::Enum sendInParallel(std::optional<uint64_t> _resumeAfter) override;
	void cancelSuspectedSend() override;
	void resumeSuspectedSend() override;
	bool hasAlternative() const override;
	void cancelSend() override;
	bool spendRetryBudget() override;
	void forwardHead() override;
	void forwardBody(std::string_view _bytes) override;
	void forwardEnd() override;
	void forwardResponse() override;
	void refuse(ErrorKind::Enum _kind) override;
	void abortResponse() override;
	bool waitForCapacity() override;

	ReserveOutcome::Enum reserve() override;
	void onAdmitted() override;
	void onWaitEnded(WaitEnd::Enum _reason) override;

	void onSent(const RelaySend& _send);
	HeadVerdict::Enum onHead(RelaySend& _send, MessageHead& _head);
	void onBody(RelaySend& _send, std::string_view _bytes);
	void onWhole(RelaySend& _send);
	void onBroken(RelaySend& _send, ExchangeFailure::Enum _how);

	std::vector<const FleetTarget*> pathTargets() const override;
	std::vector<const FleetTarget*> confirmedTargets() const override;
	Time lastProgress() const override;
	bool begun() const override;
	void onTargetDead(const FleetTarget& _target) override;

private:
	/// @returns true for the current send, false for the suspected one that still runs beside it.
	bool isCurrent(const RelaySend& _send) const
	{
		return send_.get() == &_send;
	}

	bool isBlocked() const;
	void releaseConnection(RelaySend& _send);
	void recordLostRun(const RelaySend& _send, const FleetTarget& _target);
	void startSend(std::optional<uint64_t> _resumeAfter);
	void retire(std::shared_ptr<RelaySend>&& _send);
	void resendElsewhere(const FleetTarget& _suspect);
	bool changePath(const FleetTarget& _suspect);
	ResponseTimeEstimator& responseTimes();
	void recordProgress();
	void recordDuration();
	void endCapacityWait();
	OutgoingRequest outgoingRequest(std::optional<uint64_t> _resumeAfter) const;
	std::string requestHead(std::optional<uint64_t> _resumeAfter) const;
	void onWaitElapsed();
	bool pauseUntilRetry();
	bool staysOnPath(const FleetTarget& _suspect);
	void abortCaller();
	void startTimer();
	void finishIfDone();
	void logOutcome(const char* _sentence, LogLevel::Enum _level, const std::string& _cause) const;

	RelayContext context_;
	RelayPlan plan_;
	std::function<void()> onDone_;
	RelayMachine machine_;
	std::unique_ptr<ResumeSlot> resumeSlot_; //!< Null unless the caller resumes a stream.
	Timer timer_;
	RequestPath path_;
	CapacityWait capacityWait_;
	AdmissionWait admission_;
	RelayLog log_;
	AnswerForwarder forwarder_;
	TargetFailureHandler failureHandler_;
	TargetNotices notices_;
	PathChange pathChange_;
	std::shared_ptr<RelaySend> send_;          //!< The current send, or the last one.
	std::shared_ptr<RelaySend> suspectedSend_; //!< To a target suspected dead; kept until the current send yields data.
	StreamInterval mark_;
};

} // namespace sedgecart

#endif // SEDGECART_RELAY_REQUESTRELAY_P_H_HEADER_GUARD

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_ENTRY_REQUESTRELAY_P_H_HEADER_GUARD
#define SEDGECART_ENTRY_REQUESTRELAY_P_H_HEADER_GUARD

#include "fleetview_p.h"
#include "loadhold_p.h"
#include "pathwatch_p.h"
#include "targetchooser_p.h"

#include <aio/clientconnection.h>
#include <aio/serverconnection.h>
#include <core/relaymachine.h>
#include <entry/wireformat.h>
#include <logging/logging.h>

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace boost::asio
{
class io_context;
} // namespace boost::asio

namespace sedgecart
{

class ClockI;
class RandomI;
class RetryLedger;
class Metrics;
class TargetPool;

/// What the requests of one loop share.
struct RelayContext
{
	boost::asio::io_context& loop;
	const ClockI& clock;
	const WireFormatI& wire;
	const FleetCell& cell;
	LinkUse& link;
	TargetPool& pool;
	RandomI& random;
	RetryLedger& retries;
	Metrics& metrics;
	PathWatch& watch;
	RunnerOrdersI& orders;
	const Mechanisms& mechanisms;
};

/// What is fixed of a request when it is let in.
struct RelayPlan
{
	ServerRequest request;
	CallerRequest caller;
	std::string customer;
	std::string service;
	RelayFacts facts;
	uint32_t urgency = 5;
	Duration pauseObjective; //!< A longer pause makes a stream late; 0: none given.
	Time arrivedAt;
	Time giveUpAt;
};

/// One request on its way: does what its RelayMachine decides, with sockets and timers. Loop thread only.
class RequestRelay : public RelayActionsI,
                     public ExchangeHandlerI,
                     public WatchedPathI,
                     public std::enable_shared_from_this<RequestRelay>
{
public:
	/// @param _onDone called once, after the final answer or when the caller has gone.
	RequestRelay(const RelayContext& _context, RelayPlan&& _plan, std::shared_ptr<ServerConnection> _caller,
	             std::function<void()> _onDone);
	~RequestRelay() override;

	void begin();
	void onCallerGone();

	SendOutcome::Enum send(std::optional<uint64_t> _resumeAfter) override;
	void cancelSend() override;
	bool payRepeat() override;
	void passHead() override;
	void passBody(std::string_view _bytes) override;
	void passEnd() override;
	void passWhole() override;
	void refuse(ErrorKind::Enum _kind) override;
	void breakOff() override;

	void onSent() override;
	HeadVerdict::Enum onHead(MessageHead& _head) override;
	void onBody(std::string_view _bytes) override;
	void onWhole() override;
	void onBroken(ExchangeBreak::Enum _how) override;

	std::vector<const FleetTarget*> pathTargets() const override;
	Time lastProgress() const override;
	bool begun() const override;
	void onTargetDead(const FleetTarget& _target, bool _sure) override;

private:
	const FleetTarget& target(const PathPart& _part) const;
	bool choose(SendOutcome::Enum& _outcome);
	uint64_t heldTokens() const;
	ChoiceQuery choiceQuery() const;
	std::vector<PathStop> stopsOf(const Choice& _choice) const;
	void repath();
	void onRepathed(const Choice& _choice, RepathState::Enum _state, const std::string& _atFault);
	void leave();
	bool hasOtherPath() const;
	void noteProgress();
	std::string requestText(std::optional<uint64_t> _resumeAfter) const;
	void holdLoad();
	void avoidAtFault();
	void startTimer();
	void finishIfDone();
	void logSend(bool _resumes) const;
	void logAnswer() const;
	void logOutcome(const char* _sentence, LogLevel::Enum _level, const std::string& _cause) const;

	RelayContext context_;
	RelayPlan plan_;
	std::shared_ptr<ServerConnection> caller_;
	std::function<void()> onDone_;
	RelayMachine machine_;
	boost::asio::steady_timer timer_;
	std::shared_ptr<const FleetService> service_; //!< As it was at the last send.
	uint32_t nodes_ = 1;                          //!< Entry nodes, as of the last send.
	Choice choice_;
	LoadHold hold_; //!< While the send under way counts at its targets.
	std::unique_ptr<ClientConnection> connection_;
	MessageHead head_;    //!< Of the answer under way.
	std::string body_;    //!< Of the answer under way, when it is passed on whole.
	TargetAnswer answer_; //!< What the head says.
	std::set<std::string> failed_;
	Time firstAt_;              //!< When the first event came.
	Duration longestPause_;     //!< Between two events.
	Time eventAt_;              //!< When bytes of the stream last came.
	Time progressAt_;           //!< Of the last event, or of the send.
	uint64_t eventsAtSend_ = 0; //!< Events that came before the send under way.
	uint32_t repathsLeft_ = 0;  //!< Other paths that the send under way may still try.
	bool repathing_ = false;    //!< An order for another path is under way.
	bool answerSound_ = true;   //!< The answer under way may be passed on.
};

} // namespace sedgecart

#endif // SEDGECART_ENTRY_REQUESTRELAY_P_H_HEADER_GUARD

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "requestrelay_p.h"

#include "retryledger_p.h"
#include "targetpool_p.h"

#include <base/clock.h>
#include <logging/logging.h>
#include <metrics/metrics.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <chrono>

namespace sedgecart
{

namespace
{

/// Longest wait for a connection to a target. A hop takes well under a millisecond; a lost first packet is sent again
/// only after a second, and another target costs less than that wait.
constexpr Duration kConnectBound = Duration::fromMillis(150);

/// How long a target that failed is passed over where there is another.
constexpr Duration kAvoidedFor = Duration::fromMillis(1500);

/// The same for one that turned a request away: it is full, drains or gives layers up. Some requests end meanwhile.
constexpr Duration kFullFor = Duration::fromMillis(200);

/// When a caller that was refused is to come back: about a request's time at a target, so that room may be free again.
constexpr Duration kComeBack = Duration::fromMillis(250);

/// An answer takes room for this part of its hinted length, one in so many: it grows from nothing, so that half is its
/// mean. Counted whole, requests are refused while room is free: worth of what was served 0.564 against 0.600 (1: all
/// in time; mean of 20 runs with failing targets). Targets then run out of memory at times: up to 152 requests in one
/// of the runs are read again.
constexpr uint64_t kMeanPart = 2;

/// Bytes that a caller may leave untaken before its stream is given up.
constexpr std::size_t kMostBacklog = 4UL * 1024 * 1024;

/// Other paths that one send may try before it is given up.
constexpr uint32_t kMostRepaths = 3;

/// Largest answer that is collected before it is passed on, bytes.
constexpr std::size_t kMostCollected = 16UL * 1024 * 1024;

constexpr uint16_t kFirstServerError = 500;

bool isSuccess(uint16_t _status)
{
	return 200 <= _status && _status < 300;
}

} // namespace

RequestRelay::RequestRelay(const RelayContext& _context, RelayPlan&& _plan, std::shared_ptr<ServerConnection> _caller,
                           std::function<void()> _onDone)
    : context_(_context),
      plan_(std::move(_plan)),
      caller_(std::move(_caller)),
      onDone_(std::move(_onDone)),
      machine_(plan_.facts, *this),
      timer_(_context.loop)
{
}

RequestRelay::~RequestRelay() = default;

void RequestRelay::begin()
{
	startTimer();
	if (RequestKind::Stream == plan_.facts.kind && context_.mechanisms.on(Mechanism::PathWatch))
	{
		context_.watch.add(shared_from_this());
	}
	context_.retries.onFirst(plan_.service, context_.clock.now());
	machine_.begin();
	finishIfDone();
}

void RequestRelay::startTimer()
{
	const Duration left = plan_.giveUpAt - context_.clock.now();
	timer_.expires_after(std::chrono::microseconds(std::max<int64_t>(0, left.micros)));
	const std::weak_ptr<RequestRelay> weak = weak_from_this();
	timer_.async_wait(
	    [weak](const boost::system::error_code& _error)
	    {
		    const std::shared_ptr<RequestRelay> self = weak.lock();
		    if (!_error && self)
		    {
			    self->machine_.onTimeUp();
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
	machine_.onCallerGone();
	finishIfDone();
}

const FleetTarget& RequestRelay::target(const PathPart& _part) const
{
	return service_->targets[_part.candidate];
}

/// @returns the tokens that the request takes at each of its layers, as a mean over its time there: answers grow from
/// nothing to their length.
uint64_t RequestRelay::heldTokens() const
{
	const bool mean = context_.mechanisms.on(Mechanism::MeanAnswer);
	return plan_.caller.promptTokens + (mean ? plan_.caller.hintedTokens / kMeanPart : plan_.caller.hintedTokens);
}

ChoiceQuery RequestRelay::choiceQuery() const
{
	const auto tokens = static_cast<double>(heldTokens());
	const bool moves = 0 < machine_.events();
	const Time now = context_.clock.now();
	return ChoiceQuery{*service_, failed_, nodes_, tokens, now, context_.mechanisms, context_.link.taken(now), moves};
}

bool RequestRelay::choose(SendOutcome::Enum& _outcome)
{
	choice_ = Choice{}; // its indices are the last service's
	{
		const RcuCell<FleetView>::Reader view(context_.cell.view);
		const auto row = view->services.find(plan_.service);
		service_ = view->services.end() == row ? nullptr : row->second;
		nodes_ = view->nodes;
	}
	if (!service_)
	{
		_outcome = SendOutcome::NoTargets;
		return false;
	}
	const ChoiceQuery query = choiceQuery();
	_outcome = service_->spec->hasEngine ? choosePath(query, context_.random, choice_)
	                                     : chooseTarget(query, context_.random, choice_);
	if (SendOutcome::Begun != _outcome)
	{
		choice_ = Choice{};
		return false;
	}
	return true;
}

SendOutcome::Enum RequestRelay::send(std::optional<uint64_t> _resumeAfter)
{
	hold_.release();
	SendOutcome::Enum outcome = SendOutcome::NoTargets;
	if (!choose(outcome))
	{
		return outcome;
	}
	holdLoad();
	context_.metrics.add(Counter::Sends);
	answer_ = TargetAnswer{};
	answerSound_ = true;
	body_.clear();
	progressAt_ = context_.clock.now();
	eventsAtSend_ = machine_.events();
	repathsLeft_ = kMostRepaths;
	repathing_ = false;
	logSend(_resumeAfter.has_value());
	connection_ = context_.pool.take(target(choice_.parts.front()).record);
	// The exchange begins from the loop: a failure must not call into the machine while it decides.
	const std::shared_ptr<RequestRelay> self = shared_from_this();
	boost::asio::post(context_.loop,
	                  [self, _resumeAfter]
	                  {
		                  if (!self->machine_.done() && self->connection_)
		                  {
			                  self->connection_->exchange(self->requestText(_resumeAfter), *self, kConnectBound);
		                  }
	                  });
	return outcome;
}

std::vector<PathStop> RequestRelay::stopsOf(const Choice& _choice) const
{
	std::vector<PathStop> stops;
	for (const PathPart& part : _choice.parts)
	{
		stops.push_back(PathStop{target(part).record.address, part.layers});
	}
	return stops;
}

std::string RequestRelay::requestText(std::optional<uint64_t> _resumeAfter) const
{
	TargetCall call;
	call.expected = target(choice_.parts.front()).record.instance;
	call.customer = plan_.customer;
	call.urgency = plan_.urgency;
	call.resumeAfter = _resumeAfter;
	call.budget = plan_.giveUpAt - context_.clock.now();
	if (service_->spec->hasEngine)
	{
		call.path = stopsOf(choice_);
	}
	return context_.wire.targetRequest(plan_.request, call);
}

void RequestRelay::holdLoad()
{
	hold_.take(*service_, choice_, heldTokens());
	if (service_->spec->hasEngine)
	{
		context_.link.add(linkTime(choiceQuery(), choice_), context_.clock.now());
	}
}

void RequestRelay::cancelSend()
{
	if (connection_)
	{
		connection_->close();
	}
	hold_.release();
}

bool RequestRelay::payRepeat()
{
	if (!context_.retries.take(plan_.service, nodes_, context_.clock.now()))
	{
		return false;
	}
	context_.metrics.add(Counter::Retries);
	return true;
}

void RequestRelay::passHead()
{
	AnswerStart start;
	start.status = head_.status;
	start.headers = context_.wire.callerHeaders(head_.headers);
	start.framing = BodyFraming::Chunked;
	caller_->start(start, std::string_view());
}

void RequestRelay::passBody(std::string_view _bytes)
{
	caller_->send(_bytes);
	if (kMostBacklog < caller_->backlog())
	{
		caller_->abort();
	}
}

void RequestRelay::passEnd()
{
	context_.metrics.add(Counter::Answers);
	logAnswer();
	caller_->finish();
}

void RequestRelay::passWhole()
{
	context_.metrics.add(Counter::Answers);
	firstAt_ = context_.clock.now();
	logAnswer();
	AnswerStart start;
	start.status = head_.status;
	start.headers = context_.wire.callerHeaders(head_.headers);
	start.noBody = "HEAD" == plan_.request.head.method;
	start.length = body_.size();
	caller_->start(start, body_);
	caller_->finish();
}

void RequestRelay::refuse(ErrorKind::Enum _kind)
{
	const ErrorAnswer& answer = answerOf(_kind);
	context_.metrics.addError(_kind);
	logOutcome("Request is refused.", LogLevel::Info, answer.name);
	AnswerStart start;
	start.status = answer.status;
	start.headers = context_.wire.ownHeaders(plan_.caller.id, answer.retry ? kComeBack : Duration{});
	caller_->start(start, std::string_view());
	caller_->finish();
}

void RequestRelay::breakOff()
{
	context_.metrics.add(Counter::BrokenStreams);
	logOutcome("Stream is broken off.", LogLevel::Warning, nameOf(machine_.lastBreak()));
	caller_->abort();
}

/// Tells where the request goes and what decided it.
void RequestRelay::logSend(bool _resumes) const
{
	std::string path;
	for (const PathPart& part : choice_.parts)
	{
		const FleetTarget& stop = target(part);
		path += path.empty() ? "" : ",";
		path += stop.record.instance.text + '/' + stop.record.hall + '/' + std::to_string(part.layers.begin) + '-' +
		        std::to_string(part.layers.end);
	}
	const double room = tightestRoom(choiceQuery(), choice_);
	constexpr double kPercent = 100;
	logEvent(LogPart::Requests, LogLevel::Info, "Request is sent.",
	         {{"service", plan_.service},
	          {"customer", plan_.customer},
	          {"path", path},
	          {"room_taken_percent", std::to_string(static_cast<int>(room * kPercent))},
	          {"tokens", std::to_string(heldTokens())},
	          {"resumes", _resumes ? "true" : "false"},
	          {"sends", std::to_string(machine_.sends() + 1)},
	          {"left_ms", std::to_string((plan_.giveUpAt - context_.clock.now()).millis())}},
	         plan_.caller.id);
}

/// Tells how an answer that was passed on went.
void RequestRelay::logAnswer() const
{
	logEvent(LogPart::Requests, LogLevel::Info, "Answer is passed on.",
	         {{"status", std::to_string(head_.status)},
	          {"first_ms", std::to_string((firstAt_ - plan_.arrivedAt).millis())},
	          {"longest_pause_ms", std::to_string(longestPause_.millis())},
	          {"events", std::to_string(machine_.events())},
	          {"sends", std::to_string(machine_.sends())},
	          {"held_ms", std::to_string((context_.clock.now() - plan_.arrivedAt).millis())}},
	         plan_.caller.id);
}

void RequestRelay::logOutcome(const char* _sentence, LogLevel::Enum _level, const std::string& _cause) const
{
	const Time now = context_.clock.now();
	const bool chosen = service_ && !choice_.parts.empty();
	logEvent(LogPart::Requests, _level, _sentence,
	         {{"cause", _cause},
	          {"not_sent_again", nameOf(machine_.bar())},
	          {"ran", machine_.mayHaveRun() ? "maybe" : "no"},
	          {"sends", std::to_string(machine_.sends())},
	          {"events", std::to_string(machine_.events())},
	          {"service", plan_.service},
	          {"target", chosen ? target(choice_.parts.front()).record.instance.text : std::string()},
	          {"at_fault", answer_.atFault},
	          {"held_ms", std::to_string((now - plan_.arrivedAt).millis())},
	          {"left_ms", std::to_string((plan_.giveUpAt - now).millis())}},
	         plan_.caller.id);
}

void RequestRelay::onSent()
{
	machine_.onSent();
}

HeadVerdict::Enum RequestRelay::onHead(MessageHead& _head)
{
	TargetAnswer answer = context_.wire.readAnswer(_head);
	if (!answer.id.empty() && plan_.caller.id != answer.id)
	{
		context_.metrics.add(Counter::SurplusAnswers);
		logOutcome("Surplus answer is thrown away.", LogLevel::Info, answer.id);
		return HeadVerdict::Skip;
	}
	answer_ = std::move(answer);
	head_ = std::move(_head);
	answerSound_ = !isSuccess(head_.status) || (answer_.isSigned && !answer_.id.empty());
	if (answerSound_)
	{
		machine_.onHead(RelayHead{head_.status, answer_.notRun});
	}
	return HeadVerdict::Take;
}

void RequestRelay::onBody(std::string_view _bytes)
{
	if (machine_.passing() && answerSound_)
	{
		noteProgress();
		machine_.onBody(_bytes);
		finishIfDone();
		return;
	}
	body_.append(_bytes);
	if (kMostCollected < body_.size())
	{
		cancelSend();
		machine_.onBroken(SendBreak::Broken);
		finishIfDone();
	}
}

/// Remembers that bytes came, and tells of a pause that makes the stream late.
void RequestRelay::noteProgress()
{
	const Time now = context_.clock.now();
	const bool paused =
	    0 < plan_.pauseObjective.micros && 0 < machine_.events() && eventAt_ + plan_.pauseObjective < now;
	if (0 == machine_.events())
	{
		firstAt_ = now;
		context_.metrics.observe(Timing::FirstToken, now - plan_.arrivedAt);
	}
	else
	{
		context_.watch.noteGap(now - eventAt_);
		longestPause_ = std::max(longestPause_, now - eventAt_);
	}
	if (paused)
	{
		context_.metrics.observe(Timing::Pause, now - eventAt_);
		logOutcome("Stream paused for too long.", LogLevel::Info, std::to_string((now - eventAt_).millis()) + " ms");
	}
	eventAt_ = now;
	progressAt_ = now;
}

void RequestRelay::onWhole()
{
	hold_.release();
	if (connection_)
	{
		context_.pool.giveBack(target(choice_.parts.front()).record, std::move(connection_));
	}
	if (answer_.notRun)
	{
		avoidAtFault();
	}
	else if (kFirstServerError <= head_.status)
	{
		failed_.insert(target(choice_.parts.front()).record.instance.text); // sent again, it goes elsewhere
	}
	if (answerSound_)
	{
		machine_.onWhole();
	}
	else
	{
		machine_.onBroken(SendBreak::Broken);
	}
	finishIfDone();
}

void RequestRelay::onBroken(ExchangeBreak::Enum _how)
{
	hold_.release();
	avoidAtFault();
	machine_.onBroken(ExchangeBreak::NotConnected == _how ? SendBreak::NotSent : SendBreak::Broken);
	finishIfDone();
}

std::vector<const FleetTarget*> RequestRelay::pathTargets() const
{
	std::vector<const FleetTarget*> targets;
	const bool watched = !machine_.done() && connection_ && service_ && service_->spec->hasEngine && !repathing_;
	for (std::size_t index = 0; watched && index < choice_.parts.size(); ++index)
	{
		targets.push_back(&target(choice_.parts[index]));
	}
	return targets;
}

Time RequestRelay::lastProgress() const
{
	return progressAt_;
}

bool RequestRelay::begun() const
{
	return eventsAtSend_ < machine_.events();
}

/// @returns true if some path avoids the targets that failed this request.
bool RequestRelay::hasOtherPath() const
{
	Choice other;
	return SendOutcome::Begun == choosePath(choiceQuery(), context_.random, other);
}

void RequestRelay::onTargetDead(const FleetTarget& _target, bool _sure)
{
	if (machine_.done() || !connection_)
	{
		return;
	}
	failed_.insert(_target.record.instance.text);
	if (!_sure && !hasOtherPath())
	{
		// It may live, and without it the stream ends for certain.
		logOutcome("Request stays with a silent target.", LogLevel::Info, "no other path");
		failed_.erase(_target.record.instance.text);
		return;
	}
	if (target(choice_.parts.front()).load == _target.load)
	{
		leave();
		return;
	}
	repath();
}

/// Gives the send under way up and lets the machine decide on another.
void RequestRelay::leave()
{
	cancelSend();
	machine_.onBroken(SendBreak::Silent);
	finishIfDone();
}

void RequestRelay::repath()
{
	Choice other = choice_;
	if (0 == repathsLeft_ || !chooseRest(choiceQuery(), other))
	{
		leave();
		return;
	}
	--repathsLeft_;
	repathing_ = true;
	const std::weak_ptr<RequestRelay> weak = weak_from_this();
	const uint32_t send = machine_.sends();
	context_.orders.repath(target(choice_.parts.front()).record.address, plan_.caller.id, stopsOf(other),
	                       [weak, other, send](RepathState::Enum _state, const std::string& _atFault)
	                       {
		                       const std::shared_ptr<RequestRelay> self = weak.lock();
		                       if (self && !self->machine_.done() && send == self->machine_.sends())
		                       {
			                       self->onRepathed(other, _state, _atFault);
		                       }
	                       });
}

void RequestRelay::onRepathed(const Choice& _choice, RepathState::Enum _state, const std::string& _atFault)
{
	repathing_ = false;
	logOutcome("Request changes its path.", LogLevel::Info, nameOf(_state));
	if (RepathState::Moved == _state)
	{
		context_.metrics.add(Counter::PathChanges);
		choice_ = _choice;
		holdLoad();
		progressAt_ = context_.clock.now();
		return;
	}
	for (const PathPart& part : _choice.parts)
	{
		if (RepathState::NoPart == _state && _atFault == target(part).record.address)
		{
			failed_.insert(target(part).record.instance.text);
			repath();
			return;
		}
	}
	leave();
}

/// Passes over, for this request and for a moment for others, the target that the answer names, or else the first.
void RequestRelay::avoidAtFault()
{
	const PathPart* atFault = &choice_.parts.front();
	for (const PathPart& part : choice_.parts)
	{
		atFault = target(part).record.address == answer_.atFault ? &part : atFault;
	}
	const FleetTarget& failed = target(*atFault);
	failed_.insert(failed.record.instance.text);
	const Duration span = answer_.notRun ? kFullFor : kAvoidedFor;
	failed.load->avoidedUntil.store((context_.clock.now() + span).micros, std::memory_order_relaxed);
	logOutcome("Target failed a request.", LogLevel::Info, failed.record.instance.text);
}

void RequestRelay::finishIfDone()
{
	if (!machine_.done() || !onDone_)
	{
		return;
	}
	timer_.cancel();
	context_.metrics.observe(Timing::Request, context_.clock.now() - plan_.arrivedAt);
	const std::function<void()> call = std::move(onDone_);
	onDone_ = nullptr;
	call();
}

} // namespace sedgecart

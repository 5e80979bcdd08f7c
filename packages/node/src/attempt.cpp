// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "attempt_p.h"

#include "answersink_p.h"
#include "caller_p.h"
#include "context_p.h"
#include "control_p.h"
#include "fasterchainfinder_p.h"
#include "stopstate_p.h"

#include <base/config.h>
#include <logging/logging.h>
#include <node/settings.h>
#include <target/httpenginestream.h>
#include <target/loadprobe.h>

#include <algorithm>

namespace sedgecart
{

namespace
{

constexpr int64_t kProbeTimeoutMillis = 100;

AttemptReport makeReport(AttemptEnd::Enum _end, const std::string& _detail = std::string())
{
	AttemptReport report;
	report.end = _end;
	report.detail = _detail;
	return report;
}

} // namespace

Attempt::Attempt(const NodeContext& _context, const AttemptTask& _task)
    : context_(_context),
      caller_(_task.caller),
      chain_(_task.chain),
      sequence_(_task.sequence),
      sink_(_task.sink),
      chainFinder_(_task.chainFinder),
      lastTokenAt_(_task.lastTokenAt),
      maxTokens_(_task.maxTokens),
      promptTokens_(_task.promptTokens),
      rateMonitor_(_task.chain.tokenGap)
{
}

AttemptReport Attempt::run(StreamOrder _order)
{
	_order.attempt = context_.incarnation.nextId();
	_order.start = sequence_.next();
	_order.chain = chain_;
	sequence_.startAttempt(_order.attempt, chain_);
	HttpEngineStream stream(context_.stop.cut());
	const OpenOutcome outcome = stream.open(_order);
	if (OpenState::Lost == outcome.state && context_.stop.areRequestsCut())
	{
		return makeReport(AttemptEnd::CutOff);
	}
	if (OpenState::Opened != outcome.state)
	{
		return onRefused(outcome);
	}
	return relayEvents(stream);
}

AttemptReport Attempt::onRefused(const OpenOutcome& _outcome)
{
	const TargetHandle target = targetNamed(_outcome.target);
	if (OpenState::Refused == _outcome.state)
	{
		if (_outcome.busy && isValid(target))
		{
			context_.limiter.onRefusal(target, context_.clock.now());
			context_.control.targets().markFull(target, slotsOf(target));
			AttemptReport report = makeReport(AttemptEnd::NotStarted, _outcome.detail);
			report.busy = true;
			return report;
		}
		return onStageFailed(AttemptEnd::NotStarted, _outcome.target);
	}
	const bool connected = OpenState::Unreachable != _outcome.state;
	return reportFailure(connected ? AttemptEnd::Broken : AttemptEnd::NotStarted, target, _outcome.detail);
}

AttemptReport Attempt::relayEvents(EngineStreamI& _stream)
{
	while (true)
	{
		const Time now = context_.clock.now();
		if (caller_.deadline < now)
		{
			return makeReport(AttemptEnd::DeadlinePassed);
		}
		StreamEvent event;
		const EventState::Enum state = _stream.next(std::min(silenceTimeout(), caller_.deadline - now), event);
		if (EventState::Silent == state)
		{
			const bool deadlinePassed = caller_.deadline < context_.clock.now();
			return deadlinePassed ? makeReport(AttemptEnd::DeadlinePassed) : onSilence();
		}
		if (EventState::Ended == state)
		{
			return context_.stop.areRequestsCut() ? makeReport(AttemptEnd::CutOff) : onStreamEnded();
		}
		if (!event.failedTarget.empty())
		{
			return onStageFailed(AttemptEnd::Broken, event.failedTarget);
		}
		std::optional<AttemptReport> ended = onEvent(event);
		if (ended)
		{
			return std::move(*ended);
		}
	}
}

std::optional<AttemptReport> Attempt::onEvent(const StreamEvent& _event)
{
	const EventVerdict::Enum verdict = sequence_.check(_event);
	switch (verdict)
	{
	case EventVerdict::Deliver:
		return onToken(_event);
	case EventVerdict::Finished:
		return makeReport(AttemptEnd::Finished);
	case EventVerdict::Foreign:
		context_.metrics.add(Counter::ForeignEvents);
		return std::nullopt;
	case EventVerdict::Repeated:
		context_.metrics.add(Counter::RepeatedEvents);
		return std::nullopt;
	case EventVerdict::Gap:
	case EventVerdict::BadLayers:
	case EventVerdict::Short:
	case EventVerdict::Count:
		break;
	}
	return reportFailure(AttemptEnd::Broken, chain_.stages.front().target, nameOf(verdict));
}

std::optional<AttemptReport> Attempt::onToken(const StreamEvent& _event)
{
	if (!deliver(_event))
	{
		return makeReport(AttemptEnd::CallerDisconnected);
	}
	std::optional<Chain> faster = findFasterChain();
	if (!faster)
	{
		return std::nullopt;
	}
	AttemptReport report = makeReport(AttemptEnd::TooSlow, "too slow");
	report.fasterChain = std::move(faster);
	return report;
}

bool Attempt::deliver(const StreamEvent& _event)
{
	const Time now = context_.clock.now();
	const bool first = 0 == lastTokenAt_.micros;
	const Duration gap = now - (first ? caller_.startedAt : lastTokenAt_);
	const bool resumed = !first && 0 == deliveredTokens_;
	context_.metrics.observe(first ? Timing::FirstToken : (resumed ? Timing::Recovery : Timing::TokenGap), gap);
	context_.metrics.add(Counter::Tokens);
	if (0 < deliveredTokens_)
	{
		maxGap_ = std::max(maxGap_, gap);
		rateMonitor_.onToken(gap);
	}
	lastTokenAt_ = now;
	++deliveredTokens_;
	context_.registry.setTokens(caller_.requestId, sequence_.next().value);
	return sink_.writeToken(_event.text);
}

std::optional<Chain> Attempt::findFasterChain()
{
	RemainingStream remaining;
	remaining.tokens = maxTokens_ - sequence_.next().value;
	remaining.prefillTokens = promptTokens_ + sequence_.next().value;
	remaining.deadline = caller_.deadline;
	if (!rateMonitor_.shouldSearch(remaining, context_.clock.now()))
	{
		return std::nullopt;
	}
	return chainFinder_.findFasterThan(chain_, rateMonitor_, remaining);
}

Duration Attempt::silenceTimeout() const
{
	if (0 != context_.settings.silenceMs)
	{
		return Duration::fromMillis(context_.settings.silenceMs);
	}
	const int64_t maxGap = Duration::fromMillis(SEDGECART_CONFIG_GAP_MAX_MS).micros;
	if (0 == deliveredTokens_)
	{
		return Duration{maxGap};
	}
	const int64_t minGap = Duration::fromMillis(SEDGECART_CONFIG_GAP_MIN_MS).micros;
	const int64_t typicalGap = std::max(maxGap_, chain_.tokenGap).micros;
	return Duration{std::clamp(typicalGap * SEDGECART_CONFIG_GAP_FACTOR, minGap, maxGap)};
}

bool Attempt::isResponding(const ChainStage& _stage)
{
	LoadReading reading;
	return LoadProbe(_stage.address).read(Duration::fromMillis(kProbeTimeoutMillis), reading);
}

AttemptReport Attempt::onSilence()
{
	AttemptReport report;
	report.detail = "silent";
	bool allResponding = true;
	for (const ChainStage& stage : chain_.stages)
	{
		if (!isResponding(stage))
		{
			allResponding = false;
			context_.control.targets().onFailure(stage.target, context_.clock.now());
			report.suspects.push_back(stage.target);
		}
	}
	// Every stage answers, so a link is slow or cut. Which end is at fault is unknown, so this request avoids all
	// stages.
	for (std::size_t index = 0; allResponding && index < chain_.stages.size(); ++index)
	{
		report.suspects.push_back(chain_.stages[index].target);
	}
	return report;
}

AttemptReport Attempt::onStreamEnded()
{
	return reportFailure(AttemptEnd::Broken, chain_.stages.front().target, "connection ended");
}

AttemptReport Attempt::onStageFailed(AttemptEnd::Enum _end, const std::string& _target)
{
	AttemptReport report;
	report.end = _end;
	report.detail = "stage " + _target + " failed";
	for (std::size_t index = 0; index < chain_.stages.size(); ++index)
	{
		const ChainStage& stage = chain_.stages[index];
		if (stage.name != _target)
		{
			continue;
		}
		report.suspects.push_back(stage.target);
		if (!isResponding(stage))
		{
			context_.control.targets().onFailure(stage.target, context_.clock.now());
		}
		else if (0 < index)
		{
			// The stage answers, so the fault is in the link to it or in the preceding stage: this request avoids both.
			report.suspects.push_back(chain_.stages[index - 1].target);
		}
	}
	return report;
}

AttemptReport Attempt::reportFailure(AttemptEnd::Enum _end, TargetHandle _target, const std::string& _detail)
{
	AttemptReport report = makeReport(_end, _detail);
	if (isValid(_target))
	{
		context_.control.targets().onFailure(_target, context_.clock.now());
		report.suspects.push_back(_target);
	}
	return report;
}

uint32_t Attempt::slotsOf(TargetHandle _target) const
{
	for (const ChainStage& stage : chain_.stages)
	{
		if (stage.target == _target)
		{
			return stage.slots;
		}
	}
	return 0;
}

TargetHandle Attempt::targetNamed(const std::string& _name) const
{
	for (const ChainStage& stage : chain_.stages)
	{
		if (stage.name == _name)
		{
			return stage.target;
		}
	}
	return TargetHandle{};
}

} // namespace sedgecart

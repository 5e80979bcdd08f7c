// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "generation_p.h"

#include "admission_p.h"
#include "answersink_p.h"
#include "caller_p.h"
#include "context_p.h"
#include "control_p.h"

#include <base/config.h>
#include <base/digest.h>
#include <logging/logging.h>

#include <algorithm>
#include <chrono>
#include <thread>

namespace sedgecart
{

namespace
{

constexpr std::size_t kPrefixBytes = 256; // of the prompt, hashed for prefix affinity
constexpr int64_t kBusyRetryAfterMillis = 500;
constexpr uint32_t kAttemptsWithoutPause = 2;
constexpr uint32_t kSlowdownThresholdMilli = 2000; // thousandths of the rated time of a token

bool contains(const std::vector<TargetHandle>& _list, TargetHandle _target)
{
	return _list.end() != std::find(_list.begin(), _list.end(), _target);
}

} // namespace

Generation::Generation(const NodeContext& _context, const Caller& _caller, const GenerationRequest& _request,
                       AnswerSinkI& _sink)
    : context_(_context),
      caller_(_caller),
      request_(_request),
      sink_(_sink),
      sequence_(_caller.route.layers, _request.maxTokens)
{
}

void Generation::run()
{
	context_.retries.earn();
	while (!ended_)
	{
		const Result<Chain> chain = nextChain();
		if (!chain.has_value())
		{
			fail(mayHaveRun_ ? withoutChain(chain.error()) : chain.error());
			return;
		}
		AttemptReport report = runAttempt(chain.value());
		context_.admission.release(chain.value());
		const std::optional<Error> error = onAttempt(report, chain.value());
		if (error)
		{
			fail(*error);
		}
	}
}

/// A started stream may have been executed, so it must not fail with an error that says it was not.
Error Generation::withoutChain(const Error& _error)
{
	if (ErrorKind::Stopping == _error.kind)
	{
		return Error{ErrorKind::StoppedRunning, {}, {}};
	}
	return Error{ErrorKind::StreamBroken, "No chain is available to continue the stream.", {}};
}

Result<Chain> Generation::nextChain()
{
	if (!fasterChain_)
	{
		pauseBeforeRetry();
		return context_.admission.acquire(submission());
	}
	Chain chain = std::move(*fasterChain_);
	fasterChain_.reset();
	return chain;
}

void Generation::pauseBeforeRetry() const
{
	if (attempts_ < kAttemptsWithoutPause)
	{
		return;
	}
	const int64_t maxPause = SEDGECART_CONFIG_RETRY_PAUSE_MS;
	const int64_t pause = std::min(maxPause, maxPause / 8 << (attempts_ - kAttemptsWithoutPause));
	const auto jitter = static_cast<int64_t>(hash64(caller_.requestId, attempts_) % static_cast<uint64_t>(pause));
	std::this_thread::sleep_for(std::chrono::milliseconds((pause + jitter) / 2));
}

AttemptReport Generation::runAttempt(const Chain& _chain)
{
	++attempts_;
	context_.registry.setChain(caller_.requestId, chainText(_chain));
	StreamOrder order;
	order.request = caller_.requestId;
	order.model = caller_.route.model;
	order.prompt = request_.prompt;
	order.maxTokens = request_.maxTokens;
	const AttemptTask task{caller_, _chain,       sequence_,          sink_,
	                       *this,   lastTokenAt_, request_.maxTokens, request_.promptTokens};
	return Attempt(context_, task).run(order);
}

std::optional<Error> Generation::onAttempt(AttemptReport& _report, const Chain& _chain)
{
	switch (_report.end)
	{
	case AttemptEnd::Finished:
		finish(_chain);
		return std::nullopt;
	case AttemptEnd::CallerDisconnected:
		context_.metrics.add(Counter::CallersGone);
		logLine(LogPart::Requests, LogLevel::Info, "The caller disconnected.", caller_.requestId);
		ended_ = true;
		return std::nullopt;
	case AttemptEnd::NotStarted:
		return onNotStarted(_report);
	case AttemptEnd::Broken:
		return onBroken(_report, _chain);
	case AttemptEnd::TooSlow:
		onTooSlow(_report, _chain);
		return std::nullopt;
	case AttemptEnd::CutOff:
		return Error{ErrorKind::StoppedRunning, {}, {}};
	case AttemptEnd::DeadlinePassed:
	case AttemptEnd::Count:
		break;
	}
	return Error{ErrorKind::DeadlinePassed, {}, {}};
}

std::optional<Error> Generation::onNotStarted(const AttemptReport& _report)
{
	avoid(_report.suspects);
	// A full target is not a fault: the request keeps its queue position and waits again, up to its maximum wait.
	refusedByTarget_ = _report.busy;
	if (_report.busy)
	{
		--attempts_;
		context_.metrics.add(Counter::TurnedAway);
		return std::nullopt;
	}
	const bool hasAttemptsLeft = attempts_ < SEDGECART_CONFIG_MAX_ATTEMPTS;
	// Resuming a started stream is not charged to the retry budget, since the caller may already have a part of it.
	if (hasAttemptsLeft && (mayHaveRun_ || context_.retries.spend()))
	{
		context_.metrics.add(Counter::Retries);
		return std::nullopt;
	}
	if (mayHaveRun_)
	{
		return Error{ErrorKind::StreamBroken, _report.detail, {}};
	}
	return Error{ErrorKind::TargetRefused, _report.detail, Duration::fromMillis(kBusyRetryAfterMillis)};
}

std::optional<Error> Generation::onBroken(const AttemptReport& _report, const Chain& _chain)
{
	mayHaveRun_ = true;
	context_.metrics.add(Counter::BrokenAttempts);
	logLine(LogPart::Requests, LogLevel::Warning,
	        "Chain " + chainText(_chain) + " broke at token " + std::to_string(sequence_.next().value) + ": " +
	            _report.detail + ".",
	        caller_.requestId);
	avoid(_report.suspects);
	warm_.clear();
	for (const ChainStage& stage : _chain.stages)
	{
		if (!contains(_report.suspects, stage.target))
		{
			warm_.push_back(stage.target);
		}
	}
	if (SEDGECART_CONFIG_MAX_ATTEMPTS <= attempts_)
	{
		return Error{ErrorKind::StreamBroken, _report.detail, {}};
	}
	context_.metrics.add(Counter::Resumes);
	return std::nullopt;
}

/// Excludes the stages whose targets report a slowdown. If none does, any stage or link may be slow, so all are
/// excluded.
std::optional<Chain> Generation::findFasterThan(const Chain& _slow, const TokenRateMonitor& _monitor,
                                                const RemainingStream& _remaining)
{
	if (SEDGECART_CONFIG_MAX_MOVES <= moves_)
	{
		return std::nullopt;
	}
	Submission query = submission();
	query.plan.warm.clear();
	const std::vector<TargetHandle> slow = slowTargets(_slow);
	for (const ChainStage& stage : _slow.stages)
	{
		auto& list = contains(slow, stage.target) ? query.plan.excluded : query.plan.warm;
		list.push_back(stage.target);
	}
	std::optional<Chain> other = context_.admission.findAlternative(query);
	if (other && !_monitor.isWorthMoving(*other, _remaining))
	{
		context_.admission.release(*other);
		other.reset();
	}
	return other;
}

std::vector<TargetHandle> Generation::slowTargets(const Chain& _chain) const
{
	std::vector<TargetHandle> all;
	std::vector<TargetHandle> slow;
	for (const ChainStage& stage : _chain.stages)
	{
		all.push_back(stage.target);
		if (kSlowdownThresholdMilli <=
		    context_.control.targets().at(stage.target).slowdownMilli.load(std::memory_order_relaxed))
		{
			slow.push_back(stage.target);
		}
	}
	return slow.empty() ? all : slow;
}

void Generation::onTooSlow(AttemptReport& _report, const Chain& _chain)
{
	mayHaveRun_ = true;
	--attempts_; // a move is not a failed attempt
	++moves_;
	context_.metrics.add(Counter::Moves);
	fasterChain_ = std::move(_report.fasterChain);
	logLine(LogPart::Requests, LogLevel::Info,
	        "Moved from slow chain " + chainText(_chain) + " to " + chainText(*fasterChain_) + " at token " +
	            std::to_string(sequence_.next().value) + ".",
	        caller_.requestId);
}

void Generation::finish(const Chain& _chain)
{
	ended_ = true;
	const Duration duration = context_.clock.now() - caller_.startedAt;
	context_.metrics.observe(Timing::Request, duration);
	context_.admission.recordFinished(caller_.route.name, request_.maxTokens, duration);
	for (const ChainStage& stage : _chain.stages)
	{
		context_.control.targets().onSuccess(stage.target);
		context_.limiter.onSuccess(stage.target, stage.slots);
	}
	sink_.finish(_chain);
}

void Generation::fail(const Error& _error)
{
	ended_ = true;
	context_.metrics.addError(_error.kind);
	logLine(LogPart::Requests, LogLevel::Info, std::string("Failed: ") + responseOf(_error.kind).name + ".",
	        caller_.requestId);
	sink_.fail(_error);
}

void Generation::avoid(const std::vector<TargetHandle>& _suspects)
{
	avoided_.insert(avoided_.end(), _suspects.begin(), _suspects.end());
}

Submission Generation::submission() const
{
	Submission result;
	result.route = caller_.route.name;
	result.customer = caller_.customer;
	result.weight = caller_.weight;
	result.deadline = caller_.deadline;
	result.inProgress = mayHaveRun_;
	result.refusedByTarget = refusedByTarget_;
	result.since = caller_.startedAt;
	result.plan.tokens = request_.maxTokens - sequence_.next().value;
	result.plan.promptTokens = request_.promptTokens;
	result.plan.prefixHash = hash64(request_.prompt.substr(0, kPrefixBytes));
	result.plan.excluded = avoided_;
	result.plan.warm = warm_;
	// A started stream accepts any chain, even one that is expected to miss the deadline.
	result.plan.deadline = mayHaveRun_ ? Time{} : caller_.deadline;
	return result;
}

} // namespace sedgecart

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <core/dispatcher.h>

#include <base/config.h>
#include <base/random.h>
#include <core/snapshot.h>
#include <core/targetboard.h>

#include <algorithm>

namespace sedgecart
{

namespace
{

constexpr double kMicrosPerSecond = 1e6;
constexpr double kSmoothing = 0.9; // weight of the previous value in moving averages
constexpr int64_t kMinRetryAfterMillis = 100;
constexpr int64_t kMaxRetryAfterMillis = 30000;
constexpr int64_t kNoTargetsRetryAfterMillis = 1000;
constexpr uint32_t kJitterPercent = 50;

Duration maxWait()
{
	return Duration::fromMillis(SEDGECART_CONFIG_MAX_WAIT_MS);
}

} // namespace

Dispatcher::Dispatcher(TargetBoard& _board, std::unique_ptr<PlannerI> _planner)
    : board_(_board),
      planner_(std::move(_planner))
{
}

Decision Dispatcher::submit(const Snapshot& _snapshot, const Submission& _submission, Time _now, RandomI& _random)
{
	RouteQueue& route = routes_[_submission.route];
	const bool queueEmpty = 0 == route.queue.size();
	if (queueEmpty || _submission.inProgress || _submission.refusedByTarget)
	{
		Plan plan = tryPlan(_snapshot, _submission, _now, _random);
		if (PlanOutcome::Found == plan.outcome)
		{
			// A submission that a target refused was charged when it was first started.
			if (!_submission.refusedByTarget)
			{
				route.queue.charge(_submission.customer, _submission.weight, _submission.plan.tokens);
			}
			recordStart(route, _now);
			return Decision{_submission.id, Verdict::Start, std::move(plan.chain), {}};
		}
		if (PlanOutcome::NoTargets == plan.outcome && !_submission.inProgress)
		{
			return refuse(_submission, ErrorKind::NoTargets, Duration::fromMillis(kNoTargetsRetryAfterMillis));
		}
	}
	return enqueue(route, _submission, _now, _random);
}

std::optional<Chain> Dispatcher::findAlternative(const Snapshot& _snapshot, const Submission& _submission, Time _now,
                                                 RandomI& _random)
{
	const auto route = _snapshot.routes.find(_submission.route);
	if (_snapshot.routes.end() == route)
	{
		return std::nullopt;
	}
	PlanRequest request = _submission.plan;
	request.now = _now;
	Plan plan = planner_->plan(_snapshot, route->second, board_, request, _random);
	if (PlanOutcome::Found != plan.outcome)
	{
		return std::nullopt;
	}
	reserve(plan.chain);
	return std::move(plan.chain);
}

Plan Dispatcher::tryPlan(const Snapshot& _snapshot, const Submission& _submission, Time _now, RandomI& _random)
{
	const auto route = _snapshot.routes.find(_submission.route);
	if (_snapshot.routes.end() == route)
	{
		return Plan{};
	}
	PlanRequest request = _submission.plan;
	request.now = _now;
	Plan plan = planner_->plan(_snapshot, route->second, board_, request, _random);
	if (PlanOutcome::NoTargets == plan.outcome && !request.excluded.empty())
	{
		// No other target is left: one that failed this request before is better than none.
		request.excluded.clear();
		plan = planner_->plan(_snapshot, route->second, board_, request, _random);
	}
	if (PlanOutcome::Found == plan.outcome)
	{
		reserve(plan.chain);
	}
	return plan;
}

Decision Dispatcher::enqueue(RouteQueue& _route, const Submission& _submission, Time _now, RandomI& _random)
{
	WaitingRequest waiter{_submission.id, _submission.customer, _submission.weight, _submission.plan.tokens, _now, {}};
	if (_submission.inProgress || _submission.refusedByTarget)
	{
		const Time waitLimit = std::min(_submission.deadline, _submission.since + maxWait());
		waiter.expiresAt = _submission.inProgress ? _submission.deadline : waitLimit;
		_route.queue.pushFront(waiter);
		_route.waiting[_submission.id] = _submission;
		return Decision{_submission.id, Verdict::Wait, {}, {}};
	}
	if (SEDGECART_CONFIG_MAX_WAITING_PER_CUSTOMER <= _route.queue.queuedOf(_submission.customer))
	{
		return refuse(_submission, ErrorKind::CustomerOverLimit, retryAfter(_route, _random));
	}
	const Duration wait = estimatedWait(_route, _route.queue.aheadOf(_submission.customer, _submission.weight));
	if (maxWait() < wait)
	{
		return refuse(_submission, ErrorKind::Overloaded, retryAfter(_route, _random));
	}
	const Duration work{static_cast<int64_t>(_route.microsPerToken * _submission.plan.tokens)};
	if (_submission.deadline < _now + wait + work)
	{
		return refuse(_submission, ErrorKind::DeadlineTooShort, retryAfter(_route, _random));
	}
	waiter.expiresAt = std::min(_submission.deadline, _now + maxWait());
	_route.queue.push(waiter);
	_route.waiting[_submission.id] = _submission;
	return Decision{_submission.id, Verdict::Wait, {}, {}};
}

Decision Dispatcher::refuse(const Submission& _submission, ErrorKind::Enum _kind, Duration _retryAfter) const
{
	Decision decision;
	decision.id = _submission.id;
	decision.verdict = Verdict::Refuse;
	decision.error = Error{_kind, {}, _retryAfter};
	return decision;
}

std::vector<Decision> Dispatcher::dispatchWaiting(const Snapshot& _snapshot, Time _now, RandomI& _random)
{
	std::vector<Decision> decisions;
	for (auto& entry : routes_)
	{
		dispatchRoute(_snapshot, entry.second, _now, _random, decisions);
	}
	return decisions;
}

void Dispatcher::dispatchRoute(const Snapshot& _snapshot, RouteQueue& _route, Time _now, RandomI& _random,
                               std::vector<Decision>& _decisions)
{
	for (const WaitingRequest& expired : _route.queue.expire(_now))
	{
		const Submission submission = _route.waiting[expired.id];
		_route.waiting.erase(expired.id);
		const ErrorKind::Enum kind = submission.inProgress ? ErrorKind::StreamBroken : ErrorKind::Overloaded;
		_decisions.push_back(refuse(submission, kind, retryAfter(_route, _random)));
	}
	while (const WaitingRequest* const waiter = _route.queue.front())
	{
		const uint64_t id = waiter->id;
		Plan plan = tryPlan(_snapshot, _route.waiting[id], _now, _random);
		if (PlanOutcome::Found != plan.outcome)
		{
			return;
		}
		_route.queue.pop();
		_route.waiting.erase(id);
		recordStart(_route, _now);
		_decisions.push_back(Decision{id, Verdict::Start, std::move(plan.chain), {}});
	}
}

void Dispatcher::cancel(uint64_t _id)
{
	for (auto& entry : routes_)
	{
		if (0 != entry.second.waiting.erase(_id))
		{
			entry.second.queue.remove(_id);
			return;
		}
	}
}

void Dispatcher::reserve(const Chain& _chain)
{
	for (const ChainStage& stage : _chain.stages)
	{
		TargetCounters& counters = board_.at(stage.target);
		counters.inFlight.fetch_add(1, std::memory_order_relaxed);
		counters.started.fetch_add(1, std::memory_order_relaxed);
	}
}

void Dispatcher::release(const Chain& _chain)
{
	for (const ChainStage& stage : _chain.stages)
	{
		board_.at(stage.target).inFlight.fetch_sub(1, std::memory_order_relaxed);
	}
}

void Dispatcher::recordFinished(const std::string& _route, uint32_t _tokens, Duration _duration)
{
	if (0 == _tokens)
	{
		return;
	}
	RouteQueue& route = routes_[_route];
	const double perToken = static_cast<double>(_duration.micros) / _tokens;
	const bool first = 0 == route.microsPerToken;
	route.microsPerToken = first ? perToken : route.microsPerToken * kSmoothing + perToken * (1 - kSmoothing);
}

std::size_t Dispatcher::waiting(const std::string& _route) const
{
	const auto found = routes_.find(_route);
	return routes_.end() == found ? 0 : found->second.queue.size();
}

void Dispatcher::recordStart(RouteQueue& _route, Time _now)
{
	const bool first = 0 == _route.lastStart.micros;
	const int64_t gap = std::max<int64_t>(1, (_now - _route.lastStart).micros);
	_route.lastStart = _now;
	if (first)
	{
		return;
	}
	// Averages the gaps, not the rates: one short gap must not look like a queue that drains fast.
	const double meanGap = 0 < _route.startsPerSecond ? kMicrosPerSecond / _route.startsPerSecond : gap;
	const double nextGap = meanGap * kSmoothing + static_cast<double>(gap) * (1 - kSmoothing);
	_route.startsPerSecond = kMicrosPerSecond / nextGap;
}

Duration Dispatcher::estimatedWait(const RouteQueue& _route, std::size_t _ahead) const
{
	if (0 == _route.startsPerSecond)
	{
		return Duration{};
	}
	return Duration{static_cast<int64_t>(static_cast<double>(_ahead) / _route.startsPerSecond * kMicrosPerSecond)};
}

Duration Dispatcher::retryAfter(const RouteQueue& _route, RandomI& _random) const
{
	const int64_t drained = estimatedWait(_route, _route.queue.size() + 1).millis();
	const int64_t bounded = std::clamp(drained, kMinRetryAfterMillis, kMaxRetryAfterMillis);
	// Jitter, so that callers refused together do not retry together.
	return Duration::fromMillis(bounded + bounded * _random.below(kJitterPercent) / 100);
}

} // namespace sedgecart

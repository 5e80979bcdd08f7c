// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_CORE_DISPATCHER_H_HEADER_GUARD
#define SEDGECART_CORE_DISPATCHER_H_HEADER_GUARD

#include <base/chain.h>
#include <base/error.h>
#include <base/units.h>
#include <core/fairqueue.h>
#include <core/planner.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace sedgecart
{

class RandomI;
class TargetBoard;
struct Snapshot;

/// A request that asks for a chain.
struct Submission
{
	uint64_t id = 0; //!< Chosen by the submitter, never reused.
	std::string route;
	std::string customer;
	uint32_t weight = 1;
	PlanRequest plan;
	Time deadline;
	bool inProgress = false; //!< An interrupted stream that is resumed: goes before all others, never refused for load.
	bool refusedByTarget =
	    false;  //!< Was started, but a target was full: goes before all others, with the same time limit.
	Time since; //!< When it was first submitted.
};

/// Outcome of a submission.
struct Verdict
{
	enum Enum
	{
		Start,  //!< Slots of the chain are reserved.
		Wait,   //!< Decided by a later `dispatchWaiting`.
		Refuse, //!< Final.

		Count
	};
};

/// Verdict on one submission, with its chain or error.
struct Decision
{
	uint64_t id = 0;
	Verdict::Enum verdict = Verdict::Refuse;
	Chain chain;
	Error error;
};

/// Admission control: starts requests on chains with free slots, queues the others in fair order and immediately
/// refuses those that cannot start in time, with a time after which to retry. Not thread-safe; does no I/O.
class Dispatcher
{
public:
	Dispatcher(TargetBoard& _board, std::unique_ptr<PlannerI> _planner);

	/// Decides on a new submission.
	Decision submit(const Snapshot& _snapshot, const Submission& _submission, Time _now, RandomI& _random);

	/// Searches a chain for a stream that is already running, without queueing it and without the targets it excludes.
	/// @returns a chain whose slots are reserved, or none if no such chain has free slots.
	std::optional<Chain> findAlternative(const Snapshot& _snapshot, const Submission& _submission, Time _now,
	                                     RandomI& _random);

	/// Decides on queued submissions. To be called when slots become free and periodically.
	std::vector<Decision> dispatchWaiting(const Snapshot& _snapshot, Time _now, RandomI& _random);

	/// Removes a queued submission.
	void cancel(uint64_t _id);

	/// Releases the slots of a chain.
	void release(const Chain& _chain);

	/// Records the duration of finished work, from which it is estimated whether a deadline can be met.
	void recordFinished(const std::string& _route, uint32_t _tokens, Duration _duration);

	/// @returns the number of requests queued on a route.
	std::size_t waiting(const std::string& _route) const;

private:
	struct RouteQueue
	{
		FairQueue queue;
		std::map<uint64_t, Submission> waiting; //!< By id.
		double startsPerSecond = 0;             //!< Moving average.
		double microsPerToken = 0;              //!< Moving average of microseconds per token.
		Time lastStart;
	};

	Plan tryPlan(const Snapshot& _snapshot, const Submission& _submission, Time _now, RandomI& _random);
	Decision enqueue(RouteQueue& _route, const Submission& _submission, Time _now, RandomI& _random);
	Decision refuse(const Submission& _submission, ErrorKind::Enum _kind, Duration _retryAfter) const;
	void recordStart(RouteQueue& _route, Time _now);
	void dispatchRoute(const Snapshot& _snapshot, RouteQueue& _route, Time _now, RandomI& _random,
	                   std::vector<Decision>& _decisions);
	Duration estimatedWait(const RouteQueue& _route, std::size_t _ahead) const;
	Duration retryAfter(const RouteQueue& _route, RandomI& _random) const;
	void reserve(const Chain& _chain);

	TargetBoard& board_;
	std::unique_ptr<PlannerI> planner_;
	std::map<std::string, RouteQueue> routes_;
};

} // namespace sedgecart

#endif // SEDGECART_CORE_DISPATCHER_H_HEADER_GUARD

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "admission_p.h"

#include "snapshotcell_p.h"

#include <base/clock.h>
#include <core/snapshot.h>

#include <vector>

namespace sedgecart
{

Admission::Admission(const SnapshotCell& _snapshots, const ClockI& _clock, TargetBoard& _board,
                     std::unique_ptr<PlannerI> _planner, uint64_t _seed)
    : snapshots_(_snapshots),
      clock_(_clock),
      dispatcher_(_board, std::move(_planner)),
      random_(_seed)
{
}

Admission::~Admission() = default;

Result<Chain> Admission::acquire(Submission _submission)
{
	std::unique_lock<std::mutex> lock(mutex_);
	if (refusing_)
	{
		return Error{ErrorKind::Stopping, {}, {}};
	}
	_submission.id = ++nextId_;
	Decision decision;
	{
		const SnapshotCell::Reader snapshot(snapshots_);
		decision = dispatcher_.submit(*snapshot, _submission, clock_.now(), random_);
	}
	if (Verdict::Wait == decision.verdict)
	{
		Pending pending;
		pending_[_submission.id] = &pending;
		// The control thread calls dispatchWaiting(), which refuses submissions that wait too long, so this wait always
		// ends.
		pending.decided.wait(lock,
		                     [&pending]
		                     {
			                     return pending.decision.has_value();
		                     });
		decision = std::move(*pending.decision);
	}
	if (Verdict::Start == decision.verdict)
	{
		return decision.chain;
	}
	return decision.error;
}

std::optional<Chain> Admission::findAlternative(const Submission& _submission)
{
	const std::lock_guard<std::mutex> lock(mutex_);
	const SnapshotCell::Reader snapshot(snapshots_);
	return dispatcher_.findAlternative(*snapshot, _submission, clock_.now(), random_);
}

void Admission::release(const Chain& _chain)
{
	const std::lock_guard<std::mutex> lock(mutex_);
	dispatcher_.release(_chain);
	dispatchWaitingLocked();
}

void Admission::recordFinished(const std::string& _route, uint32_t _tokens, Duration _took)
{
	const std::lock_guard<std::mutex> lock(mutex_);
	dispatcher_.recordFinished(_route, _tokens, _took);
}

void Admission::dispatchWaiting()
{
	const std::lock_guard<std::mutex> lock(mutex_);
	dispatchWaitingLocked();
}

void Admission::dispatchWaitingLocked()
{
	std::vector<Decision> decisions;
	{
		const SnapshotCell::Reader snapshot(snapshots_);
		decisions = dispatcher_.dispatchWaiting(*snapshot, clock_.now(), random_);
	}
	for (Decision& decision : decisions)
	{
		const auto found = pending_.find(decision.id);
		if (pending_.end() == found)
		{
			continue;
		}
		Pending& pending = *found->second;
		pending_.erase(found);
		pending.decision = std::move(decision);
		pending.decided.notify_one();
	}
}

void Admission::refuseAll()
{
	const std::lock_guard<std::mutex> lock(mutex_);
	refusing_ = true;
	for (const auto& entry : pending_)
	{
		dispatcher_.cancel(entry.first);
		Decision decision;
		decision.error = Error{ErrorKind::Stopping, {}, {}};
		entry.second->decision = decision;
		entry.second->decided.notify_one();
	}
	pending_.clear();
}

std::size_t Admission::waiting(const std::string& _route) const
{
	const std::lock_guard<std::mutex> lock(mutex_);
	return dispatcher_.waiting(_route);
}

} // namespace sedgecart

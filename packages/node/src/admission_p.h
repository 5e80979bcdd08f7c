// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_NODE_ADMISSION_P_H_HEADER_GUARD
#define SEDGECART_NODE_ADMISSION_P_H_HEADER_GUARD

#include <base/chain.h>
#include <base/result.h>
#include <base/seededrandom.h>
#include <core/dispatcher.h>

#include <condition_variable>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>

namespace sedgecart
{

class ClockI;
class SnapshotCell;
class TargetBoard;

/// Admits submissions: blocks request threads until the dispatcher starts or refuses them. Thread-safe.
class Admission
{
public:
	Admission(const SnapshotCell& _snapshots, const ClockI& _clock, TargetBoard& _board,
	          std::unique_ptr<PlannerI> _planner, uint64_t _seed);
	~Admission();

	/// Blocks until the submission is started or refused. Sets the submission's id.
	/// @returns the chain with its slots reserved, or the dispatcher's error.
	Result<Chain> acquire(Submission _submission);

	/// Searches another chain for a running stream, without blocking.
	/// @returns the chain with its slots reserved, nothing if there is none.
	std::optional<Chain> findAlternative(const Submission& _submission);

	/// Releases the slots of a chain and dispatches waiting submissions.
	void release(const Chain& _chain);

	/// Records a finished request, its tokens and its duration, for the estimate of waiting times.
	void recordFinished(const std::string& _route, uint32_t _tokens, Duration _took);

	/// Starts or refuses waiting submissions. Called periodically by the control thread.
	void dispatchWaiting();

	/// Refuses what waits and all later submissions, as not run because of the stop.
	void refuseAll();

	/// @returns the number of requests waiting for a route.
	std::size_t waiting(const std::string& _route) const;

private:
	struct Pending
	{
		std::condition_variable decided;
		std::optional<Decision> decision;
	};

	void dispatchWaitingLocked();

	const SnapshotCell& snapshots_;
	const ClockI& clock_;
	mutable std::mutex mutex_;
	Dispatcher dispatcher_;
	SeededRandom random_;
	uint64_t nextId_ = 0;
	bool refusing_ = false;
	std::unordered_map<uint64_t, Pending*> pending_;
};

} // namespace sedgecart

#endif // SEDGECART_NODE_ADMISSION_P_H_HEADER_GUARD

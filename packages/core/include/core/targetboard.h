// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_CORE_TARGETBOARD_H_HEADER_GUARD
#define SEDGECART_CORE_TARGETBOARD_H_HEADER_GUARD

#include <base/handle.h>
#include <base/units.h>

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>

namespace sedgecart
{

/// State of one target that changes between snapshots. All fields are read and written by many threads.
struct TargetCounters
{
	std::atomic<uint32_t> inFlight{0};       //!< Streams and calls of this node in progress.
	std::atomic<uint32_t> remoteInFlight{0}; //!< Streams and calls of other nodes, from the last report.
	std::atomic<uint32_t> stepMicros{0};     //!< Mean step time of the last report, microseconds, 0: none.
	std::atomic<uint32_t> slowdownMilli{0};  //!< Slowdown factor of the last report, thousandths; 0: not reported.
	std::atomic<uint32_t> limitMilli{0};     //!< Concurrency limit of this node, thousandths; 0: not yet set.
	std::atomic<uint32_t> failures{0};       //!< Consecutive failures.
	std::atomic<int64_t> reportAt{0};        //!< Time of the last report, microseconds, 0: never.
	std::atomic<int64_t> ejectedUntil{0};    //!< The target gets no work before, microseconds.
	std::atomic<int64_t> limitReducedAt{0};  //!< Last time that the limit was reduced, microseconds.
	std::atomic<bool> leaving{false};        //!< Reported by the target itself.
	std::atomic<bool> holdsLayers{
	    true}; //!< Reported by the target itself: it held the layers that were configured at that time.
	std::atomic<uint64_t> heldFence{0}; //!< Fence of the order that the last report was compared with.
	std::atomic<uint64_t> started{0};   //!< Requests started, in total.
	std::atomic<uint64_t> refused{0};   //!< Refusals by the target, in total.
};

/// Load report of a target.
struct TargetReport
{
	uint32_t active = 0;        //!< Streams or calls of all nodes.
	uint32_t stepMicros = 0;    //!< Mean time of a step, microseconds, 0: none.
	uint32_t slowdownMilli = 0; //!< Slowdown factor, thousandths; 0: not reported.
	bool leaving = false;
	bool holdsLayers = true; //!< It holds the layers that it is configured to hold
	uint64_t fence = 0;      //!< according to this order (TargetSpec::fence).
};

/// The blackboard's section for state that changes with each request: counters by target handle. Lock-free for readers
/// and writers; only `handleOf` may add a target, from the control thread.
class TargetBoard
{
public:
	TargetBoard();
	~TargetBoard();

	/// @returns the handle of a target, a new one for a new name; invalid if the board is full.
	TargetHandle handleOf(const std::string& _name);

	TargetCounters& at(TargetHandle _target)
	{
		return counters_[_target.index];
	}
	const TargetCounters& at(TargetHandle _target) const
	{
		return counters_[_target.index];
	}

	/// Applies a load report.
	void onReport(TargetHandle _target, const TargetReport& _report, Time _now);

	/// An attempt failed: ejects the target, for twice as long with each consecutive failure, and until its next
	/// report.
	void onFailure(TargetHandle _target, Time _now);

	/// The target refused because it had no free slot: it counts as full until its next report.
	void markFull(TargetHandle _target, uint32_t _slots);

	/// An attempt succeeded: resets the count of consecutive failures.
	void onSuccess(TargetHandle _target);

	/// @returns true if the target may get work: it is neither ejected nor leaving.
	bool isHealthy(TargetHandle _target, Time _now) const;

	/// @returns true if the target's last report shows that it holds the layers of the order.
	/// @param _fence TargetSpec::fence; an order that is newer than the last report counts as not yet carried out.
	bool holdsLayers(TargetHandle _target, uint64_t _fence) const;

	/// @returns true if the target's last report has not expired.
	bool isReportFresh(TargetHandle _target, Time _now) const;

	/// @returns the estimated number of streams at the target: those of other nodes from the last report, and this
	/// node's own.
	uint32_t load(TargetHandle _target) const;

private:
	std::unique_ptr<TargetCounters[]> counters_;
	std::unordered_map<std::string, TargetHandle> handles_;
};

} // namespace sedgecart

#endif // SEDGECART_CORE_TARGETBOARD_H_HEADER_GUARD

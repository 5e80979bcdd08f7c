// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_METRICS_METRICS_H_HEADER_GUARD
#define SEDGECART_METRICS_METRICS_H_HEADER_GUARD

#include <base/errorkind.h>
#include <base/recordfault.h>
#include <base/units.h>

#include <array>
#include <atomic>
#include <cstdint>
#include <iosfwd>
#include <memory>
#include <string>

namespace sedgecart
{

/// Things that are counted.
struct Counter
{
	enum Enum
	{
		Requests,
		Tokens,
		Resumes,
		Retries,
		ForeignEvents,
		RepeatedEvents,
		BrokenAttempts,
		ClaimAppends,
		Claims,
		CallersGone,
		TurnedAway,
		Placements,           //!< Layer ranges given to other targets by this node.
		Moves,                //!< Streams taken from a slow chain to a faster one.
		Sends,                //!< Requests sent to a target or path, those that were sent again as well.
		Answers,              //!< Answers of targets that were passed on whole.
		BrokenStreams,        //!< Streams that could not be finished.
		PathChanges,          //!< Requests that went on over another path.
		DeadTargets,          //!< Targets taken as dead when a path was silent.
		SurplusAnswers,       //!< Answers that belonged to another request.
		LayerLosses,          //!< Losses of layers of a data hall that ended.
		OrdersSent,           //!< Orders to hold layers that this node sent, those sent again as well.
		OrdersKnown,          //!< Orders to hold layers that this node knows of, whoever sends them.
		OrdersBegun,          //!< Of them: the target has begun, by its answer to this node or by a record.
		OrdersHeld,           //!< The target says that it holds the layers.
		OrdersRefused,        //!< The target refused.
		OrdersUnanswered,     //!< No answer came.
		OrdersShown,          //!< The registry shows the layers.
		OrdersGivenUp,        //!< Not counted on any more, though nothing shows what became of them.
		StreamWaits,          //!< Waits of streams that had begun and found no place.
		StreamPlaces,         //!< Such waits that ended at a target that went on with the stream.
		ResumesHeld,          //!< Resumed streams that waited until others had been read.
		TargetCrashes,        //!< Targets that ended while this node ran requests there.
		RequestsBlocked,      //!< Requests that this node found to end targets.
		RateLimits,           //!< Times that a target named another rate limit than before, or none any more.
		UnreadableNotices,    //!< Answers of targets that say something of themselves that cannot be read.
		BackoffsAsked,        //!< Refusals in which a target asked this node to send nothing for a while.
		AdmissionWaits,       //!< Requests that waited for capacity before they were first sent.
		AdmissionAdmitted,    //!< Such requests that were sent.
		AdmissionDisplaced,   //!< Such requests that were refused in favour of a more urgent one.
		AdmissionExpired,     //!< Such requests that were refused because they could no longer be in time.
		LeaseRefusals,        //!< Tries to admit a request that the lease did not cover, repeated ones as well.
		LeaseFloorAdmissions, //!< Requests that were admitted by the floor because there was no valid lease.
		LeaseExpiries,        //!< Leases of this node that ran out without being renewed.
		ReturnsPromised,      //!< Refused callers that were told to return when capacity is expected.
		CutOffs,              //!< Times that this node found itself cut off from all targets.
		Handovers,            //!< Sends of requests to another node because no target could be reached.
		HandoversDeclined,    //!< Such sends that the other node did not take over.
		HandoversTaken,       //!< Requests taken over from other nodes.
		RetriesDenied,        //!< Retries that were not sent because the retry budget was exhausted.
		ClosedUnread,         //!< Callers' connections closed unread because the node gets more than it can read.
		EvictedCallers,       //!< Callers' silent connections closed to make room for others.

		Count
	};
};

/// Things that are counted for each urgency, only for prioritized services.
struct UrgencyCounter
{
	enum Enum
	{
		Answers,
		Late,    //!< Answers that missed an objective of their route: their first event, or a pause.
		Refused, //!< By the router.

		Count
	};
};

/// Urgencies that are counted apart; those less urgent than the last one are counted as it.
constexpr uint32_t kCountedUrgencies = 10;

/// Times that are kept as histograms.
struct Timing
{
	enum Enum
	{
		FirstToken,
		TokenGap,
		Request,
		Claim,
		Recovery,   //!< From the last token before a break to the next one.
		Pause,      //!< Between two events of a stream, when longer than its route's objective.
		OrderShown, //!< From an order to hold layers until the registry shows them.
		LayerLoss,  //!< How long layers of a data hall had no holder.
		RetryAfter, //!< Retry-After of refusals of prioritized services.

		Count
	};
};

/// Counters and histograms of the node. Safe from many threads.
class Metrics
{
public:
	Metrics();
	~Metrics();

	Metrics(const Metrics&) = delete;
	Metrics& operator=(const Metrics&) = delete;

	void add(Counter::Enum _counter, uint64_t _by = 1)
	{
		counters_[_counter].fetch_add(_by, std::memory_order_relaxed);
	}
	void addError(ErrorKind::Enum _kind)
	{
		errors_[_kind].fetch_add(1, std::memory_order_relaxed);
	}
	void addUrgency(UrgencyCounter::Enum _counter, uint32_t _urgency)
	{
		const uint32_t row = _urgency < kCountedUrgencies ? _urgency : kCountedUrgencies - 1;
		urgencies_[_counter][row].fetch_add(1, std::memory_order_relaxed);
	}
	void addPassedOver(RecordKind::Enum _kind, RecordFault::Enum _fault)
	{
		passedOver_[_kind][_fault].fetch_add(1, std::memory_order_relaxed);
	}
	void observe(Timing::Enum _timing, Duration _took);

	/// @returns all of it in the text format that Prometheus reads, without the counters by urgency that are 0.
	std::string text() const;

	uint64_t value(Counter::Enum _counter) const
	{
		return counters_[_counter].load(std::memory_order_relaxed);
	}

private:
	class Histograms;
	void writePassedOver(std::ostream& _out) const;
	void writeUrgencies(std::ostream& _out) const;

	std::array<std::atomic<uint64_t>, Counter::Count> counters_{};
	std::array<std::atomic<uint64_t>, ErrorKind::Count> errors_{};
	std::array<std::array<std::atomic<uint64_t>, RecordFault::Count>, RecordKind::Count> passedOver_{};
	std::array<std::array<std::atomic<uint64_t>, kCountedUrgencies>, UrgencyCounter::Count> urgencies_{};
	std::unique_ptr<Histograms> histograms_;
};

/// @returns the name of a counter as /metrics shows it.
const char* nameOf(Counter::Enum _counter);
/// @returns the name of a counter by urgency as /metrics shows it.
const char* nameOf(UrgencyCounter::Enum _counter);
/// @returns the name of a timing as /metrics shows it.
const char* nameOf(Timing::Enum _timing);

} // namespace sedgecart

#endif // SEDGECART_METRICS_METRICS_H_HEADER_GUARD

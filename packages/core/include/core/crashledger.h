// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_CORE_CRASHLEDGER_H_HEADER_GUARD
#define SEDGECART_CORE_CRASHLEDGER_H_HEADER_GUARD

#include <base/requestidentity.h>
#include <base/targetincarnation.h>
#include <base/units.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace sedgecart
{

/// How much of a response had arrived when its target crashed.
struct ResponseProgress
{
	uint64_t events = 0;    //!< Complete events of the stream, including those of earlier runs that it continued.
	uint64_t runEvents = 0; //!< Complete events of the lost run alone.
};

/// The requests that one target was running when it crashed, with the progress of each response.
using LostRuns = std::map<RequestIdentity, ResponseProgress>;

/// A crash of a target incarnation while it ran a request.
struct CrashRow
{
	RequestIdentity request;
	TargetIncarnation target;
	ResponseProgress progress; //!< Progress of the response.
};

/// Who observed a crash or a response first.
struct CrashSource
{
	enum Enum
	{
		Own,   //!< This node.
		Hall,  //!< A node that reports to this one.
		Fleet, //!< A node of another data hall, reported by that hall's hub.

		Count
	};
};

/// A request that is suspected of crashing targets or is blocked for it.
struct CrashSuspect
{
	RequestIdentity request;
	uint32_t crashes = 0; //!< Target incarnations that crashed while they ran it.
	bool blocked = false;
	Duration blockedFor; //!< Time until the block expires.
};

/// Records which requests were running when targets crashed, over all attempts of a request, and blocks requests that
/// crash their targets. Such a request fails all other requests on its target, reaches the next target with every retry
/// and can take down a whole service. It is blocked after `kCrashesToBlock` crashes.
///
/// All requests that ran on a crashed target are suspected equally. These rules keep innocent requests from being
/// blocked:
/// - crashes count together only if the response had progressed equally far: the same input makes a target fail at the
///   same position, while a target that crashes for another reason interrupts responses at any position. Without this
///   rule many innocent requests are blocked while a rack of three of twelve targets crashes every second, with it
///   hardly any;
/// - a run that completes with a response clears its request of all earlier crashes, and of crashes that others
///   observed at about the same time;
/// - a crash that a blocked request explains counts against no other request;
/// - of two requests that ran on exactly the same targets, the one that progressed less there is blocked; if they
///   progressed equally, neither is blocked until one of them has run without the other.
///
/// A part that many prompts share is recorded like a request, from runs that crashed before their first event. What
/// holds for it besides:
/// - a response that has begun clears it. Nodes remember that for long, so a part is blocked only once they had time to
///   object;
/// - a blocked request does not explain its crashes, since it may have crashed its targets by that part;
/// - of parts that occurred together in all of many crashes one is blocked: prompts have all of them.
///
/// The time is passed in; the class reads no clock.
class CrashLedger
{
public:
	/// Records that a target crashed while it ran a request.
	/// @returns true if the crash was not known before and is now recorded.
	bool recordCrash(const CrashRow& _row, CrashSource::Enum _source, Time _now);

	/// Records that a target completed the request; clears the suspicion against it.
	/// @returns true if this clears a suspected request, or if another node reports it and it was not known yet.
	bool recordResponse(const RequestIdentity& _request, CrashSource::Enum _source, Time _now);

	/// Applies the verdict of a node that receives reports of more nodes than this one.
	void applyReported(const CrashSuspect& _suspect, Time _now);

	/// Blocks a request according to its record in the store.
	/// @param _crashes target incarnations that crashed while they ran it.
	void recordBlocked(const RequestIdentity& _request, const std::vector<TargetIncarnation>& _crashes, Time _now);

	/// Clears a request of all suspicion for `kClearingPeriod`. Reported to other nodes in the same way as a response.
	void clear(const RequestIdentity& _request, Time _now);

	/// Unblocks a request on behalf of an authorised caller and discards everything recorded about it.
	void release(const RequestIdentity& _request);

	/// Blocks requests that are proven to crash targets. Called only on a node that receives the reports of all nodes.
	/// @returns the requests that this call blocked.
	std::vector<RequestIdentity> blockProven(Time _now);

	/// Removes expired entries.
	/// @returns the requests whose block expired.
	std::vector<RequestIdentity> expire(Time _now);

	/// @returns the suspected and the blocked requests.
	std::vector<CrashSuspect> suspects(Time _now) const;

	/// @returns the suspected and the blocked requests that changed after `_since`.
	std::vector<CrashSuspect> suspectsSince(Time _since, Time _now) const;

	/// @returns the crashes, or completed requests, from these sources that this node learned of after `_since`.
	std::vector<CrashRow> crashesSince(Time _since, const std::set<CrashSource::Enum>& _sources) const;
	std::vector<RequestIdentity> responsesSince(Time _since, const std::set<CrashSource::Enum>& _sources) const;

	/// Marks the crashes that this node observed itself as new, so that they are reported again, to another hub.
	void reportOwnAgain(Time _now);

	/// @returns the target incarnations that crashed while they ran a request.
	std::vector<TargetIncarnation> crashesOf(const RequestIdentity& _request) const;

	std::size_t size() const
	{
		return cases_.size();
	}

	/// Crashes at the same progress of the response after which a request is blocked. Two may be a coincidence: a
	/// request whose target crashed continues on another one, which may be in the same rack. One more is needed if the
	/// runs had produced events: equal progress is a coincidence more often than responses that have not started.
	static constexpr std::size_t kCrashesToBlock = 3;

	/// Time from the suspicion of a prompt part to its block, in which nodes report that they have had a response to
	/// it: a report to the hub, its answer to all nodes, and a report back.
	static constexpr Duration kObjectionTime = Duration::fromMillis(500);

	/// Crashes after which one of the prompt parts is blocked that always occurred together.
	static constexpr std::size_t kCrashesToBlockOne = 5;

	/// Crashes at any progress, and distinct times of them, after which a request is blocked that crashes its targets
	/// at varying positions. A caller retries only a few times, and a request of many callers is hit by many crashes at
	/// one time when a data hall fails.
	static constexpr std::size_t kCrashesBeyondChance = 6;
	static constexpr std::size_t kMomentsBeyondChance = 3;

	/// Crashes no further apart than this count as simultaneous.
	static constexpr Duration kSimultaneous = Duration::fromMillis(1000);

	/// A request with this many crashes at the same progress, or more than this many at any, is reported to all nodes.
	static constexpr std::size_t kCrashesToSuspect = 2;

	/// Difference in events up to which progress counts as the same: the last events before a crash may be lost in
	/// transit.
	static constexpr uint64_t kSameProgress = 2;

	/// How long a request stays blocked. After that it may run again, as the software that it crashes may have been
	/// fixed; one more crash blocks it again.
	static constexpr Duration kBlockDuration = Duration::fromMillis(3600 * 1000);

	/// How long the crashes of a request count after the last of them.
	static constexpr Duration kCrashLifetime = Duration::fromMillis(600 * 1000);

	/// A completed response clears a request of crashes reported within this time: earlier crashes whose reports are
	/// still in transit, and simultaneous crashes for another reason.
	static constexpr Duration kClearingPeriod = Duration::fromMillis(10 * 1000);

	/// Maximum number of requests recorded; those with the fewest crashes are evicted first. A target runs a few
	/// hundred requests at once.
	static constexpr std::size_t kMaxCases = 4096;

private:
	/// When and from whom this node learned of an event.
	struct Origin
	{
		Time at;
		CrashSource::Enum source = CrashSource::Own;
	};

	struct Crash
	{
		Origin origin;
		ResponseProgress progress;
		Time firstSeenAt; //!< When this node first learned of it; unchanged when it is reported again.
	};

	using Crashes = std::map<TargetIncarnation, Crash>;

	struct Case
	{
		Crashes crashes;
		uint32_t reportedCrashes = 0; //!< Number of crashes reported by a node that receives reports of more nodes.
		Time lastEventAt;             //!< When the last crash was learned of, or the request was blocked or unblocked.
		Time suspectedAt;             //!< When it became a suspect.
		Time changedAt;               //!< When the state that is reported to other nodes last changed.
		Time blockedUntil;
		bool blocked = false;

		uint32_t count() const;
		bool isSuspect() const;
	};

	using Cases = std::map<RequestIdentity, Case>;
	using Incarnations = std::set<TargetIncarnation>;

	bool isCleared(const RequestIdentity& _request, Time _now) const;
	Case& caseOf(const RequestIdentity& _request);
	void evictCases();
	void recordCleared(const RequestIdentity& _request, CrashSource::Enum _source, Time _now);
	void block(Case& _case, Time _now);
	static std::size_t mostAtSameProgress(const Crashes& _crashes);
	static std::size_t distinctTimes(const Crashes& _crashes);
	static bool isBeyondChance(const Crashes& _unexplained);
	static bool isProven(const Crashes& _unexplained);
	static Crashes withoutProgress(const Crashes& _crashes);
	static Crashes excluding(const Crashes& _crashes, const Incarnations& _explained);
	bool hasEquivalentSuspect(const RequestIdentity& _request, const Crashes& _unexplained) const;
	static bool isPending(const Cases::value_type& _row, Time _now);
	Incarnations pendingCrashes(Time _now) const;
	bool isSure(const RequestIdentity& _request, const Crashes& _unexplained) const;
	std::vector<RequestIdentity> blockProven(bool _parts, Incarnations& _explained, Time _now);
	static CrashSuspect suspectOf(const Cases::value_type& _row, Time _now);

	Cases cases_;
	std::map<RequestIdentity, Origin> responses_; //!< Completed responses of suspected requests.
};

} // namespace sedgecart

#endif // SEDGECART_CORE_CRASHLEDGER_H_HEADER_GUARD

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

/// \file
/// Package `crash`: detects and blocks requests that crash the targets that run them.
///
/// `CrashDetector`, on the request loop, finds out which requests a target was running when it crashed.
/// `CrashCoordinator`, on the control thread of each node, shares that with the hub of the hall and between hubs
/// (`CrashUpdate`), decides by `core/crashledger` which requests are suspected or blocked, and writes blocked requests
/// to the store. Both are published to the request path as a table (`SuspectTable`), which is queried before each send.

#ifndef SEDGECART_CRASH_CRASHDETECTOR_H_HEADER_GUARD
#define SEDGECART_CRASH_CRASHDETECTOR_H_HEADER_GUARD

#include <base/clock.h>
#include <core/recentidentities.h>
#include <crash/crashlistener.h>
#include <fleet/fleetview.h>
#include <ports/runnerorders.h>

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>

namespace sedgecart
{

/// Finds out whether a target has crashed when a run is lost without a response, and decides whether a request may be
/// sent. A connection reset is no evidence: links get reset, and targets that drain shut down in order. A target has
/// crashed if nothing listens at its address while its registry record is still valid, or if it reports that it has
/// restarted. Loop thread only.
class CrashDetector
{
public:
	/// All parameters must outlive the object.
	CrashDetector(boost::asio::io_context& _loop, const ClockI& _clock, RunnerOrdersI& _orders, const FleetCell& _cell,
	              CrashListenerI& _sink);

	/// If switched off, no crashes are detected and no requests are blocked or suspected.
	void setEnabled(bool _enabled)
	{
		enabled_ = _enabled;
	}

	/// @returns the number of a new run.
	uint64_t beginRun()
	{
		return ++lastRun_;
	}

	/// Called when a run of a request at a target ended, or was abandoned, without a response.
	/// @param _run number of the run; if several targets of a run crash together, only one crash counts.
	/// @param _parts parts of its prompt; they are suspected too if the response has not begun.
	/// @param _progress progress of the response.
	void onRunLost(const RequestIdentity& _request, const std::vector<RequestIdentity>& _parts, uint64_t _run,
	               ResponseProgress _progress, const FleetTarget& _target);

	/// Called when a target has completed a request.
	void onAnswered(const RequestIdentity& _request);

	/// Called when a target has begun a response to a prompt with these parts: none of them crashes targets.
	void onBegun(const std::vector<RequestIdentity>& _parts);

	/// @param _parts parts of its prompt.
	/// @returns for how much longer the request must not be sent to any target; none if it may be sent.
	std::optional<Duration> blockedFor(const RequestIdentity& _request,
	                                   const std::vector<RequestIdentity>& _parts) const;

	/// @returns true if targets crashed while running the request, or others with a part of its prompt, and it may be
	/// the cause.
	bool isSuspected(const RequestIdentity& _request, const std::vector<RequestIdentity>& _parts) const;

	/// Called when the suspects have changed. Reports those that a target completed recently.
	void reportRecentAnswers();

private:
	/// A run that ended without a response.
	struct LostRun
	{
		uint64_t run = 0;
		ResponseProgress progress;
	};

	using LostRunsOfProbe = std::map<RequestIdentity, LostRun>;

	/// A probe of whether a target incarnation has crashed, and the runs that were lost there.
	struct PendingProbe
	{
		FleetTarget target;
		LostRunsOfProbe lostRuns; //!< By request and by part of its prompt.
		uint32_t attempts = 0;
	};

	bool isCurrent(const FleetTarget& _target) const;
	bool isListed(const RequestIdentity& _request) const;
	bool isCleared(const RequestIdentity& _request, Time _now) const;
	std::optional<Duration> blockedFor(const RequestIdentity& _request) const;
	void sendProbe(const TargetIncarnation& _incarnation);
	void scheduleProbe(const TargetIncarnation& _incarnation);
	void scheduleVerdict(const TargetIncarnation& _incarnation);
	void onProbeAnswer(const TargetIncarnation& _incarnation, const ProbeAnswer& _answer);
	void finishProbe(const TargetIncarnation& _incarnation, bool _ended);
	bool markCounted(uint64_t _run, const RequestIdentity& _request);

	boost::asio::io_context& loop_;
	const ClockI& clock_;
	RunnerOrdersI& orders_;
	const FleetCell& cell_;
	CrashListenerI& listener_;
	std::map<TargetIncarnation, PendingProbe> probes_;
	RecentIdentities answered_;
	RecentIdentities begunParts_;
	uint64_t lastRun_ = 0;
	/// The latest runs that a crash was counted for, with the request or the part of its prompt.
	std::set<std::pair<uint64_t, RequestIdentity>> countedRuns_;
	bool enabled_ = true;
};

} // namespace sedgecart

#endif // SEDGECART_CRASH_CRASHDETECTOR_H_HEADER_GUARD

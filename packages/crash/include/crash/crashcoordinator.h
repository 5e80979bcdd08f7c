// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_CRASH_CRASHCOORDINATOR_H_HEADER_GUARD
#define SEDGECART_CRASH_CRASHCOORDINATOR_H_HEADER_GUARD

#include <base/clock.h>
#include <core/crashledger.h>
#include <crash/crashupdate.h>
#include <ports/keyedlog.h>

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace sedgecart
{

class Metrics;
struct FleetCell;

/// Maintains this node's evidence of requests that crash targets, shares it with the other nodes and the store, and
/// publishes the resulting suspects to the request path. Nodes report their observations to the hub of their hall, hubs
/// exchange them, and each hub sends its nodes the suspected and blocked requests, so that all nodes have them after a
/// few reports. A blocked request is also written to the store, for nodes that are cut off from the others or start
/// later. Control thread only, except for `writeAnswer`.
class CrashCoordinator
{
public:
	/// @param _self the name of this node.
	CrashCoordinator(KeyedLogI& _log, const ClockI& _clock, FleetCell& _cell, const std::string& _self);

	/// Sets where crashes and blocked requests are counted from now on.
	void setMetrics(Metrics& _metrics)
	{
		metrics_ = &_metrics;
	}

	/// @param _call called when the suspected or blocked requests have changed.
	void setOnSuspects(std::function<void()> _call)
	{
		onSuspects_ = std::move(_call);
	}

	/// @param _call called when an update should be sent to other nodes at once.
	void setOnUpdate(std::function<void()> _call)
	{
		onUpdate_ = std::move(_call);
	}

	/// Sets the requests that are never blocked, whatever evidence there is.
	void setNeverBlocked(const std::set<RequestIdentity>& _requests)
	{
		neverBlocked_ = _requests;
	}

	/// Records that a target crashed while it ran requests of this node.
	void recordCrash(const LostRuns& _runs, const TargetIncarnation& _target);

	/// Records that a target completed a request of this node.
	void recordResponse(const RequestIdentity& _request);

	/// Expires old entries and brings the store up to date. Must be called with each report.
	/// @param _hub the name of the node that is the hub of this node's hall.
	void tick(const std::string& _hub);

	/// @returns this node's recent observations, for its hub.
	CrashUpdate reportUpdate() const;

	/// @returns this hall's recent observations, for the hubs of other halls.
	CrashUpdate sumUpdate() const;

	/// Apply the observations of a node of this hall, those of another hall, and the answer of this hall's hub.
	void applyReport(const CrashUpdate& _update);
	void applySum(const CrashUpdate& _update);
	void applyAnswer(const CrashUpdate& _update);

	/// Writes the update that a hub sends to the nodes of its hall. Any thread.
	void writeAnswer(wire::CrashNews& _out) const;

	/// Applies a record of the topic of blocked requests.
	void onRecord(const KeyedRecord& _record);

private:
	void apply(const CrashUpdate& _update, CrashSource::Enum _source);
	void blockProven();
	void notifyUpdate() const;
	void logRequest(const RequestIdentity& _request, const char* _message, const char* _cause) const;
	void syncStore(Time _now);
	void append(const RequestIdentity& _request, const std::string& _value);
	bool isBlocked(const RequestIdentity& _request) const;
	void refresh();
	void publish(const std::vector<CrashSuspect>& _suspects, Time _now);
	Time heldUntil(const CrashSuspect& _suspect, Time _now) const;
	Time updatesSince() const;

	KeyedLogI& log_;
	const ClockI& clock_;
	FleetCell& cell_;
	std::string self_;
	Metrics* metrics_ = nullptr;
	std::function<void()> onSuspects_;
	std::function<void()> onUpdate_;
	CrashLedger ledger_;
	bool isHub_ = false;
	std::string hub_;
	std::set<RequestIdentity> neverBlocked_;
	std::vector<CrashSuspect> published_;
	std::map<RequestIdentity, Time> appendDue_; //!< When to write a blocked request that the store lacks.
	std::set<RequestIdentity> storedRequests_;  //!< Blocked requests in the store.
	std::set<RequestIdentity> pendingAppends_;  //!< Requests with an append in progress.
	mutable std::mutex mutex_;
	std::shared_ptr<const CrashUpdate> answerUpdate_; //!< Null if there is no update.
};

} // namespace sedgecart

#endif // SEDGECART_CRASH_CRASHCOORDINATOR_H_HEADER_GUARD

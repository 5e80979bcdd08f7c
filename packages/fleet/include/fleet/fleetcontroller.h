// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

/// \file
/// Package `fleet`: a node's view of the fleet, and how old that view is.
///
/// `Follower` reads one topic of the store, on the control thread. `FleetController` applies the records of the desired
/// state, of targets and of nodes, and publishes an immutable `FleetView`. The request path reads it without a lock
/// (RCU) and holds on to one of its services for the duration of a request. State that changes more often than the
/// view, the load at a target and the suspicions about it, is in the target's `TargetLoad`: its fields are atomic, and
/// it exists as long as that incarnation of the target is referenced.
///
/// Unusable records are skipped with a reason (`SkippedRecords`) and never change the view. The `TargetIncarnation` of
/// a record, an answer or a report names the incarnation of the target that it is about.

#ifndef SEDGECART_FLEET_FLEETCONTROLLER_H_HEADER_GUARD
#define SEDGECART_FLEET_FLEETCONTROLLER_H_HEADER_GUARD

#include <core/recordorder.h>
#include <fleet/addressclaims.h>
#include <fleet/fleetview.h>
#include <fleet/follower.h>
#include <fleet/nodeaddress.h>
#include <fleet/targetlog.h>
#include <ports/documentparser.h>

#include <algorithm>
#include <map>
#include <memory>
#include <string>

namespace sedgecart
{

/// Keeps the view of the fleet up to date: applies the operator's desired state, the targets' records and the nodes'
/// records, and publishes the view for the request path. Control thread only.
class FleetController
{
public:
	FleetController(const DocumentParserI& _documents, FleetCell& _cell, const ClockI& _clock,
	                const std::string& _homeHall);

	/// Sets the name of this node, which does not hand requests to itself.
	void setSelf(const std::string& _node)
	{
		self_ = _node;
	}

	/// Applies a record of the operator's topic.
	void onOperatorRecord(const KeyedRecord& _record);

	/// Every operator record that was in the store when a read was sent has been applied.
	/// @param _sentAt when that read was sent.
	void onOperatorCurrent(Time _sentAt);

	void onRunnerRecord(const KeyedRecord& _record);

	/// The store could not be read. During an outage the records of live targets lapse too.
	void onStoreUnavailable();

	/// All targets' records have been applied: publishes the view if something changed.
	/// @returns true if the store has just become available again and some records lapsed during the outage: the caller
	/// calls `dropLapsed` after `kLapseGrace`.
	bool onRunnersCurrent();

	/// Sets whether records that lapse during an outage of the store are kept for `kLapseGrace` after the outage. On by
	/// default.
	void setLapseGraceEnabled(bool _enabled)
	{
		lapseGraceEnabled_ = _enabled;
	}

	/// Removes the targets whose records lapsed during an outage of the store and were not renewed since.
	void dropLapsed();

	/// Live targets renew their records within about two seconds after an outage of the store; a target that left must
	/// get no more requests two seconds after its departure was known.
	static constexpr Duration kLapseGrace = Duration::fromMillis(1900);

	void onNodeRecord(const KeyedRecord& _record);

	/// All nodes' records have been applied: publishes the view if a node joined or left.
	/// @returns true if the nodes changed since the last call.
	bool onNodesCurrent();

	/// How long a service that was removed from the desired state stays in the view: as long as a request without a
	/// deadline of its own may run, since an admitted stream that loses its target has to continue at another target.
	static constexpr Duration kServiceRetention = Duration::fromMillis(60000);

	/// @returns targets by instance, including draining ones.
	const std::map<std::string, RunnerRecord>& runners() const
	{
		return runners_;
	}

	/// @returns the newest desired state; null if none is known.
	const std::shared_ptr<const RouteTable>& routes() const
	{
		return routes_;
	}

	/// @returns the load of each target, by instance.
	const std::map<std::string, std::shared_ptr<TargetLoad>>& loads() const
	{
		return loads_;
	}

	/// @returns the accounts of the prioritized services, by service.
	const std::map<std::string, std::shared_ptr<ServiceAccount>>& accounts() const
	{
		return accounts_;
	}

	/// @returns the entry nodes by name; includes this node once its own record was read.
	const std::map<std::string, NodeAddress>& nodes() const
	{
		return nodes_;
	}

	/// @returns when a target was last added, restarted or removed.
	Time fleetChangedAt() const
	{
		return fleetChangedAt_;
	}

	/// @returns when a target of a service was last added, restarted or removed; 0 if that was long ago.
	Time changedAt(const std::string& _service) const
	{
		const auto row = serviceChangedAt_.find(_service);
		return serviceChangedAt_.end() == row ? Time{} : row->second;
	}

	/// @returns when the last read was sent that confirmed the desired state as the newest; 0 if there was none.
	Time provenAt() const
	{
		return Time{std::max<int64_t>(0, cell_.provenAt.load(std::memory_order_relaxed))};
	}

	/// @returns the utilization of the link between halls.
	LinkUtilization& link() const
	{
		return cell_.link;
	}

	/// @returns the skipped records.
	SkippedRecords& skippedRecords() const
	{
		return cell_.skippedRecords;
	}

	/// @returns true if this node reaches no target at present.
	bool isCutOff() const
	{
		return cell_.isCutOff.load(std::memory_order_relaxed);
	}

	/// @returns true once a desired state and the targets are known.
	bool ready() const
	{
		return routes_ && runnersKnown_;
	}

private:
	/// A service that was removed from the desired state.
	struct RetiredService
	{
		std::shared_ptr<const RouteTable> routes; //!< The last table that contains it.
		Time at;                                  //!< When it was removed.
	};

	/// A target whose record was removed or became unusable.
	struct RemovedTarget
	{
		RunnerRecord record;
		std::shared_ptr<TargetLoad> load;
		Time at;
	};

	void dropExpiredRemovals();
	void applyRecord(const RunnerRecord& _read, Offset _offset);
	void addTarget(const RunnerRecord& _read);
	void restartTarget(const RunnerRecord& _read);
	void releaseAddressOfDead(const RunnerRecord& _read);
	bool isKnownDead(const RunnerRecord& _record) const;
	bool isOutdated(const RunnerRecord& _read, Offset _offset);
	bool claimAddress(const RunnerRecord& _read);
	void skipRecord(const InstanceId& _target, RecordFault::Enum _fault);
	bool removeTarget(const std::string& _instance);
	void recordChange(const std::string& _service);
	void onRecordRemoved(const std::string& _instance);
	void checkAgainstDesiredState(const RunnerRecord& _record);
	void retainRemovedServices(const RouteTable& _next);
	void publish();
	uint32_t hallPeers() const;
	void updateRoster();
	void updatePeers();
	void addRetiredServices(FleetView& _view);
	std::shared_ptr<const FleetService> buildService(const ServiceSpec& _spec,
	                                                 const std::shared_ptr<const RouteTable>& _routes);
	FleetTarget buildTarget(const ServiceSpec& _spec, const RunnerRecord& _record);
	std::shared_ptr<ServiceAccount> accountOf(const std::string& _service, const RouteTable& _routes);
	uint32_t hallIndex(const std::string& _hall);

	const DocumentParserI& documents_;
	FleetCell& cell_;
	const ClockI& clock_;
	std::shared_ptr<const RouteTable> routes_;
	std::map<std::string, RetiredService> retiredServices_; //!< By name, for `kServiceRetention`.
	std::map<std::string, RunnerRecord> runners_;
	std::map<std::string, Offset> lastOffsets_; //!< Offset of the record that was applied last, by instance.
	RecordOrder recordOrder_;
	std::map<std::string, std::shared_ptr<TargetLoad>> loads_;
	std::map<std::string, std::shared_ptr<ServiceAccount>> accounts_; //!< By service.
	std::map<std::string, RemovedTarget> removedTargets_;             //!< By instance, for `kRemovedRetention`.
	std::map<std::string, uint32_t> halls_;                           //!< Index of each hall; 0 is this node's.
	std::map<std::string, NodeAddress> nodes_;                        //!< By name.
	HeldCount budgetNodes_;                     //!< Size of `nodes_`, known once all records have been applied.
	std::shared_ptr<const NodeRoster> roster_;  //!< `nodes_` for the request path; null before the first node.
	std::string self_;                          //!< Name of this node.
	std::shared_ptr<const FleetService> peers_; //!< Null if no other node takes requests.
	std::map<std::string, std::shared_ptr<TargetLoad>> peerLoads_; //!< By name of the node.
	AddressClaims addresses_;
	TargetLog log_;
	std::set<std::string> lapsed_; //!< Instances whose records lapsed during an outage and may be renewed.
	Time fleetChangedAt_;
	std::map<std::string, Time> serviceChangedAt_; //!< `fleetChangedAt_` of each service.
	bool storeWasUnavailable_ = false;             //!< A read failed since the topic was last read to its end.
	bool runnersKnown_ = false;
	bool lapseGraceEnabled_ = true;
	bool changed_ = false;
	bool nodesChanged_ = false; //!< A node joined or left since the last `onNodesCurrent`.
};

} // namespace sedgecart

#endif // SEDGECART_FLEET_FLEETCONTROLLER_H_HEADER_GUARD

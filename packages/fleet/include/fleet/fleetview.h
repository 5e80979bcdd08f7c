// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_FLEET_FLEETVIEW_H_HEADER_GUARD
#define SEDGECART_FLEET_FLEETVIEW_H_HEADER_GUARD

#include <admission/serviceaccount.h>
#include <base/rcucell.h>
#include <base/runner.h>
#include <base/units.h>
#include <core/heldcount.h>
#include <core/linkutilization.h>
#include <core/routetable.h>
#include <fleet/advertisedratecell.h>
#include <fleet/noderoster.h>
#include <fleet/skippedrecords.h>
#include <fleet/suspecttable.h>

#include <algorithm>
#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace sedgecart
{

/// Index of this node's data hall.
constexpr uint32_t kHomeHall = 0;

/// Suspicion that a target is dead. A node that got no answer in time raises the weak one, a node whose connection was
/// refused the sure one. A target counts as dead once the suspicions of all nodes add up to the sure one.
constexpr uint32_t kWeakSuspicion = 1;
constexpr uint32_t kSureSuspicion = 2;

/// How long a target's record is not used after the target refused a request because it does not hold the layers of
/// that record. A record that is not renewed lapses within this time. The target's next record with other layers is
/// used at once.
constexpr Duration kMissingLayersTimeout = Duration::fromMillis(4500);

/// Load and health of one incarnation of a target. Exists as long as that incarnation is referenced; the next
/// incarnation gets an object of its own.
struct TargetLoad
{
	std::atomic<bool> ended{false};               //!< The target has restarted since and lost its state.
	std::atomic<uint32_t> requests{0};            //!< From this node, with the target as the head of their path.
	std::atomic<uint64_t> tokenLayers{0};         //!< From this node: tokens times layers, as estimated.
	std::atomic<uint32_t> reportedRequests{0};    //!< `requests` at the time of the others' last report.
	std::atomic<uint64_t> reportedTokenLayers{0}; //!< `tokenLayers` at that time.
	std::atomic<uint32_t> remoteRequests{0};      //!< From the other nodes, by their last report.
	std::atomic<uint64_t> remoteTokenLayers{0};   //!< From the other nodes, by their last report.
	std::atomic<int64_t> avoidedUntil{0};         //!< Steady clock, microseconds; set after a recent failure.
	std::atomic<uint32_t> worthlessInRow{0};      //!< Failures by bytes that are no answer since the last success.
	std::atomic<bool> leftOut{false};             //!< After several of these, until it answers a probe.
	std::atomic<uint32_t> suspicion{0};           //!< This node's suspicion; expires at `suspectedUntil`.
	std::atomic<int64_t> suspectedUntil{0};       //!< Steady clock, microseconds.
	std::atomic<uint32_t> remoteSuspicion{0};     //!< Sum of the other nodes' suspicions, by their last report.
	std::atomic<uint64_t> missingLayers{0}; //!< See `recordMissingLayers`; begin in the upper half, end in the lower.
	std::atomic<int64_t> missingLayersUntil{0}; //!< Steady clock, microseconds.
	std::atomic<double> polledSlowdown{1};      //!< How many times slower than usual it is, as polled by this node.
	std::atomic<double> reportedSlowdown{1};    //!< How many times slower than usual it is, as reported by other nodes.
	std::atomic<double> shareDraw{0};           //!< Of `LoadShare`, until `shareDrawnUntil`. Request thread only.
	std::atomic<int64_t> shareDrawnUntil{INT64_MIN}; //!< Steady clock, microseconds.
	std::atomic<bool> draining{false};               //!< The target announced its stop in an answer to this node.
	std::atomic<int64_t> backoffUntil{INT64_MIN};    //!< Steady clock, microseconds; this node sends it nothing before.
	AdvertisedRateCell ownRate;                      //!< From the target's answers to this node.
	AdvertisedRateCell reportedRate;                 //!< As reported by other nodes.

	/// @returns the newest rate limit that the target advertised to any node.
	AdvertisedRate rate() const
	{
		const AdvertisedRate own = ownRate.get();
		const AdvertisedRate reported = reportedRate.get();
		return own.receivedAt < reported.receivedAt ? reported : own;
	}

	/// The target asks this node to back off. Never shortens a backoff that is in effect.
	void extendBackoff(Time _until)
	{
		const int64_t before = backoffUntil.load(std::memory_order_relaxed);
		backoffUntil.store(std::max(before, _until.micros), std::memory_order_relaxed);
	}

	/// @returns this node's suspicion; 0 once it has expired.
	uint32_t ownSuspicion(Time _now) const
	{
		const bool lasts = _now.micros < suspectedUntil.load(std::memory_order_relaxed);
		return lasts ? suspicion.load(std::memory_order_relaxed) : 0;
	}

	/// @returns true if the target is considered dead: its address refuses connections, or two nodes got no answer.
	bool isDead(Time _now) const
	{
		const uint64_t others = remoteSuspicion.load(std::memory_order_relaxed);
		return kSureSuspicion <= ownSuspicion(_now) + others;
	}

	/// Records that the target refused a request because it does not hold the layers of its stage.
	/// @param _shown layers of the record that the request was routed by.
	void recordMissingLayers(LayerSpan _shown, Time _until)
	{
		missingLayers.store(packed(_shown), std::memory_order_relaxed);
		missingLayersUntil.store(_until.micros, std::memory_order_relaxed);
	}

	/// @returns true if the target refused a request because it does not hold these layers. A record with other layers
	/// is newer than that refusal.
	bool lacksLayers(LayerSpan _shown, Time _now) const
	{
		const bool lasts = _now.micros < missingLayersUntil.load(std::memory_order_relaxed);
		return lasts && packed(_shown) == missingLayers.load(std::memory_order_relaxed);
	}

	/// @returns how many times slower than usual the target is.
	double slowdown() const
	{
		return std::max(polledSlowdown.load(std::memory_order_relaxed),
		                reportedSlowdown.load(std::memory_order_relaxed));
	}

private:
	static constexpr uint64_t packed(LayerSpan _span)
	{
		constexpr uint32_t kHalf = 32;
		return static_cast<uint64_t>(_span.begin) << kHalf | _span.end;
	}
};

/// A target that requests may be sent to.
struct FleetTarget
{
	RunnerRecord record;
	uint32_t hall = 0;                            //!< Index of its data hall; kHomeHall is this node's.
	const AcceleratorKind* accelerator = nullptr; //!< Null for a plain service.
	std::shared_ptr<TargetLoad> load;

	/// @returns true if the record is known to be outdated: the target has restarted, or refused a request because it
	/// does not hold the record's layers.
	bool isOutdated(Time _now) const
	{
		return load->ended.load(std::memory_order_relaxed) || load->lacksLayers(record.layers, _now);
	}
};

/// A service with its targets. Owns a reference to the desired state that `spec` points into.
struct FleetService
{
	std::shared_ptr<const RouteTable> routes;
	const ServiceSpec* spec = nullptr;
	uint32_t halls = 1;
	std::vector<FleetTarget> targets;
	std::shared_ptr<ServiceAccount> account; //!< Null unless the service is prioritized.
};

/// The view of the fleet that the request path reads. Immutable.
struct FleetView
{
	std::shared_ptr<const RouteTable> routes; //!< Null until a desired state is known.
	std::map<std::string, std::shared_ptr<const FleetService>> services;
	uint32_t nodes = 1;                        //!< Entry nodes, this one included.
	HeldCount budgetNodes;                     //!< Entry nodes that fleet-wide budgets are divided by.
	uint32_t hallPeers = 0;                    //!< Other entry nodes of this data hall.
	std::shared_ptr<const NodeRoster> roster;  //!< Null while no node is known.
	std::shared_ptr<const FleetService> peers; //!< The other nodes that take requests, as targets; null if none does.
};

/// The current view, and when it was last confirmed as current.
struct FleetCell
{
	RcuCell<FleetView> view;
	RcuCell<SuspectTable> suspects;           //!< Requests that targets crashed under.
	LinkUtilization link;                     //!< Between data halls.
	SkippedRecords skippedRecords;            //!< Records of the store that are not used.
	std::atomic<bool> isCutOff{false};        //!< This node reaches no target, though other nodes may.
	std::atomic<int64_t> provenAt{INT64_MIN}; //!< When the last read was sent that confirmed the desired state as the
	                                          //!< newest; steady clock, microseconds.

	/// How long the known number of nodes is relied on while the store cannot be read. Less than `HeldCount::kHold`: a
	/// node that is cut off must stop using its part of a budget before the others, which have lost its record, use
	/// that part.
	static constexpr Duration kNodeCountTrust = Duration::fromMillis(20000);

	/// @returns the nodes that fleet-wide budgets are divided by.
	BudgetNodes budgetNodes(Time _now) const
	{
		const Time proven{provenAt.load(std::memory_order_relaxed)};
		const RcuCell<FleetView>::Reader current(view);
		BudgetNodes nodes = current->budgetNodes.at(_now);
		nodes.count = _now < proven + kNodeCountTrust ? nodes.count : 0;
		return nodes;
	}
};

} // namespace sedgecart

#endif // SEDGECART_FLEET_FLEETVIEW_H_HEADER_GUARD

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

/// \file
/// Package `loads`: the work in progress at targets, their slowdown, and the detection of unresponsive targets.
///
/// `LoadReports` builds this node's report and applies totals, from which it subtracts the node's own load.
/// `LoadAggregator` sums the reports of a hall at its hub, and the sums of other halls. `SlowdownPoll` polls the
/// slowdown of targets. `PathWatch` monitors the streams of this node: a target of a silent path that does not answer
/// is taken as dead, with less certainty if this node itself is late. All numbers of other nodes are as old as their
/// last report; the request path estimates what was added since (`core/unreportedload`).

#ifndef SEDGECART_LOADS_LOADAGGREGATOR_H_HEADER_GUARD
#define SEDGECART_LOADS_LOADAGGREGATOR_H_HEADER_GUARD

#include <base/units.h>
#include <loads/loadchanges.h>
#include <loads/loadtable.h>

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace sedgecart
{

/// Work in progress of all nodes, as known to the hub of a hall.
struct LoadTotals
{
	LoadTable loads;
	std::map<std::string, uint64_t> countedReports; //!< Number of the report that is included, by node.
};

/// Sums the loads that the nodes of a hall and the hubs of other halls report. Any thread.
class LoadAggregator
{
public:
	LoadAggregator();

	/// @param _interval longest time between two reports of a node of this hall.
	void setReportInterval(Duration _interval);

	/// Stores the loads reported by a node of this hall.
	/// @param _number number of the node's report.
	void onReport(const std::string& _node, uint64_t _number, LoadTable&& _loads, Time _now);

	/// Stores the loads of another hall, sent by its hub.
	void onSum(const std::string& _hub, LoadTable&& _loads, Time _now);

	/// Recomputes the totals.
	/// @returns the loads of this hall, this node's included.
	LoadTable updateTotals(const LoadTable& _own, Time _now);

	/// @returns the totals computed last; null before the first.
	std::shared_ptr<const LoadTotals> totals() const;

	/// @param _version that a node of this hall has; 0: none.
	/// @returns the totals as that node needs them.
	LoadUpdate updateSince(uint64_t _version) const;

	/// @returns the nodes that sent the loads of their hall recently.
	std::vector<std::string> hubs(Time _now) const;

private:
	struct SenderLoads
	{
		LoadTable loads;
		uint64_t number = 0;
		Time receivedAt;
	};

	using SenderTable = std::map<std::string, SenderLoads>;

	static void storeEntry(SenderTable& _table, const std::string& _name, SenderLoads&& _entry, Duration _lifetime);
	static void dropExpired(SenderTable& _table, Duration _lifetime, Time _now);

	mutable std::mutex mutex_;
	Duration reportLifetime_; //!< How long a node's report counts.
	SenderTable reports_;     //!< By node.
	SenderTable sums_;        //!< By hub.
	std::shared_ptr<const LoadTotals> totals_;
	LoadChanges changes_; //!< Of `totals_`.
};

} // namespace sedgecart

#endif // SEDGECART_LOADS_LOADAGGREGATOR_H_HEADER_GUARD

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_LOADS_LOADREPORTS_H_HEADER_GUARD
#define SEDGECART_LOADS_LOADREPORTS_H_HEADER_GUARD

#include <base/clock.h>
#include <loads/loadchanges.h>
#include <loads/loadtable.h>

#include <cstdint>
#include <deque>
#include <string>

namespace sedgecart
{

class FleetController;

/// Computes the loads that this node reports, and the loads of the other nodes from totals that include its own.
/// Applies only the rows that changed, since a fleet has thousands of targets and totals arrive several times a second.
/// Control thread only.
class LoadReports
{
public:
	LoadReports(const FleetController& _fleet, const ClockI& _clock) : fleet_(_fleet), clock_(_clock)
	{
	}

	/// @returns the work in progress of this node.
	LoadTable own() const;

	/// Records the loads of a sent report, to subtract them from the totals that include it.
	/// @param _number number of the report.
	void recordSent(uint64_t _number, const LoadTable& _own);

	/// Applies the totals of a hub's answer.
	/// @param _hub name of the hub.
	/// @param _counted number of this node's report that they include.
	void applyTotals(const std::string& _hub, const LoadUpdate& _update, uint64_t _counted);

	/// Sets the totals that this node, the hub, has computed.
	/// @param _own work in progress of this node that they include.
	void setTotals(const LoadTable& _totals, const LoadTable& _own);

	/// @returns true if the loads differ from those of the last report.
	bool hasChanged(const LoadTable& _own) const;

	/// @returns the version of the totals that this node has from a hub; 0: none.
	uint64_t versionOf(const std::string& _hub) const
	{
		return _hub == hub_ ? version_ : 0;
	}

private:
	/// A report that was sent and may still be included in a total.
	struct Sent
	{
		uint64_t number = 0;
		LoadTable loads;
	};

	TargetIncarnation incarnationOf(const std::string& _instance) const;
	LoadTable countedLoads(uint64_t _number) const;
	void applyAll();
	void applyRow(const std::string& _instance);
	void applyLink();

	const FleetController& fleet_;
	const ClockI& clock_;
	std::deque<Sent> sent_;
	LoadTable totals_;     //!< Work in progress of all nodes.
	LoadTable counted_;    //!< That of this node in `totals_`.
	std::string hub_;      //!< Hub that sent `totals_`; empty if this node computed them.
	uint64_t version_ = 0; //!< Of `totals_`.
	Time fleetAppliedAt_;  //!< `FleetController::fleetChangedAt` when all totals were last applied.
};

} // namespace sedgecart

#endif // SEDGECART_LOADS_LOADREPORTS_H_HEADER_GUARD

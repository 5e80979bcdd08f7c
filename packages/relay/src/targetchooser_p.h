// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_RELAY_TARGETCHOOSER_P_H_HEADER_GUARD
#define SEDGECART_RELAY_TARGETCHOOSER_P_H_HEADER_GUARD

#include <base/random.h>
#include <core/layerpath.h>
#include <core/relaymachine.h>
#include <fleet/fleetview.h>
#include <settings/mechanisms.h>

#include <set>
#include <string>
#include <vector>

namespace sedgecart
{

/// The chosen path of a request: a single target, or several stages.
struct Choice
{
	std::vector<PathStage>
	    stages; //!< Candidates are indices into the service's targets. One stage for a plain service.
};

/// Input of a choice.
struct ChoiceQuery
{
	const FleetService& service;
	const std::set<TargetIncarnation>& excluded; //!< Targets that are excluded for this request.
	uint32_t nodes = 1;                          //!< Entry nodes that share the targets.
	double tokens = 0;                           //!< That the request occupies at each of its layers.
	Time now;
	const Mechanisms& mechanisms;
	double linkUtilization = 0; //!< Recent utilization of the link between halls; 1 when full.
	bool isReroute = false;     //!< It leaves a failed path, as many other requests may at this moment.
	uint32_t hallPeers = 0;     //!< Other entry nodes of this data hall.
	const std::set<TargetIncarnation>* closed =
	    nullptr;          //!< Targets that announced that they accept no requests of this node
	                      //!< now. They may be later stages of a path. Null: none.
	bool mayWait = false; //!< It waits for capacity if there is no path now.
	bool startsInOwnHall =
	    false; //!< Its capacity is lent by the hub of this hall: the path begins here if there is any such path.
};

/// Why the targets of a service take no further request of this node, for log lines.
struct CapacityShortage
{
	uint32_t heads = 0;        //!< Targets that requests are sent to and that are not excluded.
	uint32_t noConnection = 0; //!< Those to which this node may have no further connection.
	uint32_t noSlot = 0;       //!< Those without a free slot, by the reports of all nodes.
	uint32_t closed = 0;       //!< Those that announced that they accept no requests of this node now.
	uint32_t noMemory = 0;     //!< Targets at any place of a path that have no free memory, by the same reports.
	bool linkFull = false;     //!< The link between halls is saturated.
};

/// Chooses a target of a plain service: the one with the fewest requests of this node, preferring this data hall.
/// @returns `NoRoom` if every target is full or closed, `NoTargets` if all are excluded.
SendOutcome::Enum chooseTarget(const ChoiceQuery& _query, RandomI& _random, Choice& _choice);

/// Chooses the cheapest path through a model's layers, preferring this data hall.
/// @returns `NoRoom` if a target or the link between halls is full, `NoTargets` if the layers are not covered.
SendOutcome::Enum choosePath(const ChoiceQuery& _query, RandomI& _random, Choice& _choice);

/// @returns what keeps the targets from taking the request.
CapacityShortage shortageOf(const ChoiceQuery& _query, RandomI& _random);

/// @returns the time for which the request's prompt and answer occupy the link between halls.
Duration linkOccupancy(const ChoiceQuery& _query, const Choice& _choice);

/// @returns the capacity utilization of the fullest target of a choice, as a fraction.
double peakUtilization(const ChoiceQuery& _query, const Choice& _choice);

/// @returns the number of hops of a path that cross from one hall to another.
uint32_t hallCrossings(const FleetService& _service, const Choice& _choice);

/// Chooses other stages after the head of a path.
/// @param _crossings hall crossings of the path that is left.
/// @param _choice keeps its head; the other stages are replaced.
/// @returns false if no path avoids the excluded targets without further hall crossings: sending a new stage what it
/// has to process again would occupy the link between halls for longer than another chain takes to process everything.
bool chooseRemainingStages(const ChoiceQuery& _query, uint32_t _crossings, RandomI& _random, Choice& _choice);

} // namespace sedgecart

#endif // SEDGECART_RELAY_TARGETCHOOSER_P_H_HEADER_GUARD

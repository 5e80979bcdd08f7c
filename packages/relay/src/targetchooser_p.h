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

/// Where a request goes: one target, or a path of them.
struct Choice
{
	std::vector<PathPart> parts; //!< Candidates are indices into the service's targets. One part for a plain service.
};

/// What a choice is made for.
struct ChoiceQuery
{
	const FleetService& service;
	const std::set<TargetLife>& failed; //!< Targets that failed this request.
	uint32_t nodes = 1;                 //!< Entry nodes that share the targets.
	double tokens = 0;                  //!< That the request takes at each of its layers.
	Time now;
	const Mechanisms& mechanisms;
	double linkTaken = 0;                         //!< Part of the link between halls that requests took lately.
	bool moves = false;                           //!< It leaves a path that failed, as many others may at this moment.
	uint32_t hallPeers = 0;                       //!< Other entry nodes of this data hall.
	const std::set<TargetLife>* closed = nullptr; //!< Targets that by their own word get no request from this node now.
	                                              //!< They may be later parts of a path. Null: none.
};

/// Chooses a target of a plain service: the one with least under way from here, in this data hall first.
SendOutcome::Enum chooseTarget(const ChoiceQuery& _query, RandomI& _random, Choice& _choice);

/// Chooses a path through a model's layers, in this data hall if it can.
SendOutcome::Enum choosePath(const ChoiceQuery& _query, RandomI& _random, Choice& _choice);

/// @returns the time that a choice takes the link between halls with the request's prompt and answer.
Duration linkTime(const ChoiceQuery& _query, const Choice& _choice);

/// @returns the part of its room that the fullest target of a choice has taken.
double tightestRoom(const ChoiceQuery& _query, const Choice& _choice);

/// @returns how often a path goes from one hall to another.
uint32_t hallCrossings(const FleetService& _service, const Choice& _choice);

/// Chooses other parts behind the first one of a path.
/// @param _crossings of the path that is left.
/// @param _choice its first part stays.
/// @returns false if there is no way around the targets that failed without another hall: what a new part has to read
/// again would take the pipe between the halls for longer than another chain takes to read it all.
bool chooseRest(const ChoiceQuery& _query, uint32_t _crossings, Choice& _choice);

} // namespace sedgecart

#endif // SEDGECART_RELAY_TARGETCHOOSER_P_H_HEADER_GUARD

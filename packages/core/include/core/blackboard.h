// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_CORE_BLACKBOARD_H_HEADER_GUARD
#define SEDGECART_CORE_BLACKBOARD_H_HEADER_GUARD

#include <core/changehistory.h>
#include <core/configstate.h>
#include <core/leavingsection.h>
#include <core/membersection.h>
#include <core/targetboard.h>

#include <string>

namespace sedgecart
{

/// Identity of this node.
struct NodeIdentity
{
	std::string name;
	std::string hall;
	std::string incarnation;
};

/// Shared state on which all decisions are based. Owned by the control thread, except `targets`, which every thread
/// reads and writes.
struct Blackboard
{
	NodeIdentity self;
	ConfigState config;     //!< Written from the config stream alone.
	ChangeHistory history;  //!< Written from the config stream alone.
	MemberSection members;  //!< Written by the member controller.
	LeavingSection leaving; //!< Written by the leaving controller.
	TargetBoard targets;    //!< Counters used by the request path.
};

} // namespace sedgecart

#endif // SEDGECART_CORE_BLACKBOARD_H_HEADER_GUARD

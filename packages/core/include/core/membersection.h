// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_CORE_MEMBERSECTION_H_HEADER_GUARD
#define SEDGECART_CORE_MEMBERSECTION_H_HEADER_GUARD

#include <base/units.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace sedgecart
{

/// Heartbeat of another node.
struct NodeReport
{
	std::string name;
	std::string incarnation;
	std::string hall;
	Offset configNext; //!< First offset of the config stream that it has not applied.
	bool stopping = false;
	std::vector<std::string> leavingTargets; //!< Targets that it knows to be leaving.
};

/// State of another node as known to this one.
struct Member
{
	NodeReport report;
	Time heartbeatAt;
	bool live = false;
};

/// The blackboard's section for the other nodes.
struct MemberSection
{
	std::map<std::string, Member> nodes; //!< By name, those that have sent a heartbeat.
	std::set<std::string> listed;        //!< Names of the nodes in the VM list that are not leaving.
	uint32_t live = 1;                   //!< Live nodes, this one included.
};

} // namespace sedgecart

#endif // SEDGECART_CORE_MEMBERSECTION_H_HEADER_GUARD

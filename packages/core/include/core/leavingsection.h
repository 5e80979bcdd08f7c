// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_CORE_LEAVINGSECTION_H_HEADER_GUARD
#define SEDGECART_CORE_LEAVINGSECTION_H_HEADER_GUARD

#include <set>
#include <string>

namespace sedgecart
{

/// The blackboard's section for targets that are leaving, by the source of the report.
struct LeavingSection
{
	std::set<std::string> byVmList; //!< From the platform's VM list.
	std::set<std::string> byPeers;  //!< From the heartbeats of other nodes.
	std::set<std::string> all;      //!< Union of both.
};

} // namespace sedgecart

#endif // SEDGECART_CORE_LEAVINGSECTION_H_HEADER_GUARD

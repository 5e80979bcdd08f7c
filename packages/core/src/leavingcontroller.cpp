// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <core/leavingcontroller.h>

#include <core/blackboard.h>

namespace sedgecart
{

const char* LeavingController::name() const
{
	return "leaving";
}

bool LeavingController::tick(Blackboard& _board, Time /*_now*/)
{
	LeavingSection& section = _board.leaving;
	std::set<std::string> byPeers;
	for (const auto& entry : _board.members.nodes)
	{
		if (entry.second.live)
		{
			const auto& names = entry.second.report.leavingTargets;
			byPeers.insert(names.begin(), names.end());
		}
	}
	std::set<std::string> all = section.byVmList;
	all.insert(byPeers.begin(), byPeers.end());
	const bool changed = all != section.all;
	section.byPeers.swap(byPeers);
	section.all.swap(all);
	return changed;
}

} // namespace sedgecart

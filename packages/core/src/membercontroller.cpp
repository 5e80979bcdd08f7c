// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <core/membercontroller.h>

#include <base/config.h>
#include <core/blackboard.h>

namespace sedgecart
{

const char* MemberController::name() const
{
	return "members";
}

bool MemberController::tick(Blackboard& _board, Time _now)
{
	const Duration deadAfter = Duration::fromMillis(SEDGECART_CONFIG_PEER_DEAD_MS);
	uint32_t live = 1;
	for (auto& entry : _board.members.nodes)
	{
		Member& member = entry.second;
		member.live = _now - member.heartbeatAt < deadAfter && !member.report.stopping;
		live += member.live ? 1 : 0;
	}
	const bool changed = live != _board.members.live;
	_board.members.live = live;
	return changed;
}

} // namespace sedgecart

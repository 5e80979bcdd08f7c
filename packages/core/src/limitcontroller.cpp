// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <core/limitcontroller.h>

#include <core/blackboard.h>
#include <core/limiter.h>

namespace sedgecart
{

const char* LimitController::name() const
{
	return "limits";
}

bool LimitController::tick(Blackboard& _board, Time /*_now*/)
{
	const uint32_t nodes = _board.members.live;
	const uint64_t config = _board.config.next().value;
	if (nodes == nodesSeen_ && config == configSeen_)
	{
		return false;
	}
	Limiter limiter(_board.targets);
	for (const auto& entry : _board.config.targets())
	{
		const TargetHandle target = _board.targets.handleOf(entry.first);
		if (!isValid(target))
		{
			continue;
		}
		const uint32_t slots = entry.second.spec.slots;
		limiter.start(target, slots, nodes);
		if (0 != nodesSeen_ && nodes != nodesSeen_)
		{
			limiter.rescale(target, slots, nodesSeen_, nodes);
		}
	}
	nodesSeen_ = nodes;
	configSeen_ = config;
	return false;
}

} // namespace sedgecart

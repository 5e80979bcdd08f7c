// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "layoutroom_p.h"

#include <algorithm>

namespace sedgecart
{

namespace
{

/// Lays second copies end to end from the first layer on: that is where the smallest shares of the chains are, so that
/// they protect against the loss of the most targets, and the first part of a path, whose slots bind, gets a second
/// target.
void layDoubles(const EngineSpec& _engine, const std::vector<LayoutTarget>& _targets, const Members& _doubles,
                double _room, std::vector<LayoutOrder>& _orders)
{
	uint32_t begin = 0;
	for (const uint32_t member : _doubles)
	{
		const uint32_t count = layersThatFit(_engine, _targets[member].card, sharedRoom(_room));
		const uint32_t end = std::min(_engine.layers, begin + count);
		if (0 < count)
		{
			_orders.push_back(LayoutOrder{member, LayerSpan{begin, end}});
		}
		begin = _engine.layers == end ? 0 : end;
	}
}

} // namespace

std::vector<LayoutOrder> planLayout(const EngineSpec& _engine, const std::vector<LayoutTarget>& _targets,
                                    const LayoutPolicy& _policy)
{
	std::vector<LayoutOrder> orders;
	for (const Members& group : chainGroups(_engine, _targets, _policy))
	{
		const double room = plannedRoom(_engine, _targets, group, _policy);
		if (room < 0)
		{
			continue; // together they cannot hold the model
		}
		const GroupDeal deal = dealOut(_engine, _targets, group, room);
		const bool alone = 1 == deal.chains.size(); // further chains share requests as doubles do, and keep more room
		const uint32_t doubled = alone ? doubledLayers(_engine, _targets, deal.doubles, room) : 0;
		for (const Members& chain : deal.chains)
		{
			layChain(_engine, _targets, chain, room, doubled, orders);
		}
		layDoubles(_engine, _targets, deal.doubles, room, orders);
	}
	return orders;
}

} // namespace sedgecart

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "layoutcapacity_p.h"

#include <algorithm>

namespace sedgecart
{

namespace
{

/// Assigns second copies consecutively from the first layer on. The smallest targets of the chains hold the first
/// layers, so that the copies there protect against the loss of the most targets. They also give the first stage of a
/// path, whose slots are the bottleneck, a second target.
void assignReplicas(const EngineSpec& _engine, const std::vector<LayoutTarget>& _targets,
                    const TargetIndices& _replicas, double _capacity, std::vector<LayoutOrder>& _orders)
{
	uint32_t begin = 0;
	for (const uint32_t member : _replicas)
	{
		const uint32_t count = layersThatFit(_engine, _targets[member].card, replicaCapacity(_capacity));
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
	for (const TargetIndices& group : chainGroups(_engine, _targets, _policy))
	{
		const double capacity = plannedCapacity(_engine, _targets, group, _policy);
		if (capacity < 0)
		{
			continue; // together these targets cannot hold the model
		}
		const GroupAssignment assignment = assignGroup(_engine, _targets, group, capacity);
		// Layers count as replicated only beside a single chain. Further chains share the requests as replicas do, and
		// reserve more capacity.
		const bool isSingle = 1 == assignment.chains.size();
		const uint32_t replicated = isSingle ? replicatedLayers(_engine, _targets, assignment.replicas, capacity) : 0;
		for (const TargetIndices& chain : assignment.chains)
		{
			assignChain(_engine, _targets, chain, capacity, replicated, orders);
		}
		assignReplicas(_engine, _targets, assignment.replicas, capacity, orders);
	}
	return orders;
}

} // namespace sedgecart

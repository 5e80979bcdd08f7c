// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "ordersafety_p.h"

#include "layoutcapacity_p.h"

#include <algorithm>

namespace sedgecart
{

namespace
{

/// Number of targets for each layer.
using LayerCounts = std::vector<uint32_t>;

void count(LayerSpan _span, LayerCounts& _counts)
{
	const auto layers = static_cast<uint32_t>(_counts.size());
	for (uint32_t layer = _span.begin; layer < std::min(_span.end, layers); ++layer)
	{
		++_counts[layer];
	}
}

} // namespace

bool isOrderSafe(const EngineSpec& _engine, const std::vector<LayoutTarget>& _targets, const LayoutOrder& _order)
{
	return OrderSafety(_engine, _targets).allows({_order});
}

OrderSafety::OrderSafety(const EngineSpec& _engine, const std::vector<LayoutTarget>& _targets)
    : engine_(_engine),
      targets_(_targets),
      isChainBroken_(isChainBroken())
{
}

bool OrderSafety::allows(const std::vector<LayoutOrder>& _orders) const
{
	const bool memory = std::all_of(_orders.begin(), _orders.end(),
	                                [this](const LayoutOrder& _order)
	                                {
		                                return leavesMemory(_order);
	                                });
	return memory && (isChainBroken_ || keepsLayersServed(_orders));
}

bool OrderSafety::isChainBroken() const
{
	LayerCounts holders(engine_.layers, 0);
	for (const LayoutTarget& target : targets_)
	{
		count(target.held, holders);
		count(target.serves, holders);
	}
	return holders.end() != std::find(holders.begin(), holders.end(), 0U);
}

bool OrderSafety::leavesMemory(const LayoutOrder& _order) const
{
	const LayoutTarget& target = targets_[_order.target];
	const double running = static_cast<double>(target.tokens) * target.held.size() * kvMbPerTokenLayer(engine_);
	return 0 == target.tokens || running + _order.layers.size() * engine_.layerMb <= target.card.memoryMb;
}

bool OrderSafety::keepsLayersServed(const std::vector<LayoutOrder>& _orders) const
{
	LayerCounts before(engine_.layers, 0);
	for (const LayoutTarget& target : targets_)
	{
		count(target.serves, before);
	}
	std::vector<LayerSpan> serves;
	for (const LayoutTarget& target : targets_)
	{
		serves.push_back(target.serves);
	}
	for (const LayoutOrder& order : _orders)
	{
		serves[order.target] = commonSpan(serves[order.target], order.layers);
	}
	LayerCounts after(engine_.layers, 0);
	for (const LayerSpan span : serves)
	{
		count(span, after);
	}
	return std::equal(before.begin(), before.end(), after.begin(),
	                  [](uint32_t _before, uint32_t _after)
	                  {
		                  return 0 == _before || 0 < _after;
	                  });
}

} // namespace sedgecart

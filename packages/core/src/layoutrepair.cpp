// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "layoutcapacity_p.h"
#include "ordersafety_p.h"

#include <algorithm>

namespace sedgecart
{

namespace
{

/// Shares of the planned capacity that targets may be left with when they take over a lost range, tried in this order.
/// A stage with little capacity serves more than a missing one.
constexpr double kCapacityShares[] = {1, 0.75, 0.5, 0.25};

/// @returns the number of members that hold each layer.
std::vector<uint32_t> coverage(const EngineSpec& _engine, const std::vector<LayoutTarget>& _targets,
                               const TargetIndices& _members)
{
	std::vector<uint32_t> held(_engine.layers, 0);
	for (const uint32_t member : _members)
	{
		const LayerSpan span = _targets[member].held;
		for (uint32_t layer = span.begin; layer < std::min(span.end, _engine.layers); ++layer)
		{
			++held[layer];
		}
	}
	return held;
}

/// @returns the first range of layers that no target holds, empty if there is none.
LayerSpan findGap(const std::vector<uint32_t>& _held)
{
	const auto begin = std::find(_held.begin(), _held.end(), 0U);
	const auto end = std::find_if(begin, _held.end(),
	                              [](uint32_t _count)
	                              {
		                              return 0 < _count;
	                              });
	return LayerSpan{static_cast<uint32_t>(begin - _held.begin()), static_cast<uint32_t>(end - _held.begin())};
}

/// Repairs the layout of one group.
class GroupRepair
{
public:
	/// @param _safety null if orders need not be safe for running requests.
	GroupRepair(const EngineSpec& _engine, const std::vector<LayoutTarget>& _targets, const TargetIndices& _members,
	            const LayoutPolicy& _policy, const OrderSafety* _safety)
	    : engine_(_engine),
	      safety_(_safety),
	      targets_(_targets),
	      members_(_members),
	      capacity_(plannedCapacity(_engine, _targets, _members, _policy))
	{
	}

	void run(const RepairScope& _scope, std::vector<LayoutOrder>& _orders)
	{
		fillGaps(_orders);
		repairGaps(_scope, _orders);
		if (0 < gap().size())
		{
			return;
		}
		for (const uint32_t member : members_)
		{
			if (_scope.mayAddReplicas && isEmpty(member))
			{
				order(member, spanForReplica(member), _orders);
			}
		}
	}

private:
	LayerSpan gap() const
	{
		return findGap(coverage(engine_, targets_, members_));
	}

	bool isEmpty(uint32_t _member) const
	{
		return 0 == targets_[_member].held.size();
	}

	uint32_t maxLayers(uint32_t _member, double _capacity) const
	{
		return layersThatFit(engine_, targets_[_member].card, _capacity);
	}

	/// Assigns ranges that no target holds to empty targets. A target receives a whole range if the planned capacity
	/// remains. The smallest suitable target is chosen, so that larger ones are left for larger ranges.
	void fillGaps(std::vector<LayoutOrder>& _orders)
	{
		LayerSpan range = gap();
		while (0 < range.size())
		{
			const uint32_t chosen = smallestFit(range);
			if (targets_.size() != chosen)
			{
				order(chosen, range, _orders);
			}
			std::vector<uint32_t> held = coverage(engine_, targets_, members_);
			std::fill(held.begin(), held.begin() + range.end, 1); // the ranges up to here were processed
			range = findGap(held);
		}
	}

	/// @returns the empty target with the least memory that can hold a range, the number of targets if there is none.
	uint32_t smallestFit(LayerSpan _range) const
	{
		auto found = static_cast<uint32_t>(targets_.size());
		for (const uint32_t member : members_)
		{
			const bool canHold = isEmpty(member) && _range.size() <= maxLayers(member, capacity_);
			const bool smaller =
			    targets_.size() == found || targets_[member].card.memoryMb < targets_[found].card.memoryMb;
			found = canHold && smaller ? member : found;
		}
		return found;
	}

	/// @returns the capacity that the holders of each layer have together, tokens.
	std::vector<double> layerCapacities() const
	{
		std::vector<double> capacities(engine_.layers, 0);
		for (const uint32_t member : members_)
		{
			const LayerSpan span = targets_[member].held;
			const double capacity = capacityFor(engine_, targets_[member].card, span.size());
			for (uint32_t layer = span.begin; layer < std::min(span.end, engine_.layers); ++layer)
			{
				capacities[layer] += capacity;
			}
		}
		return capacities;
	}

	/// @returns the capacity of the group's layer with the least capacity if a member held a span too, tokens.
	double minCapacityWith(std::vector<double> _capacities, uint32_t _member, LayerSpan _span) const
	{
		const double own = capacityFor(engine_, targets_[_member].card, _span.size());
		for (uint32_t layer = _span.begin; layer < _span.end; ++layer)
		{
			_capacities[layer] += own;
		}
		return *std::min_element(_capacities.begin(), _capacities.end());
	}

	/// @returns the layers for an empty target if none are lost: the span around the layer with the least capacity that
	/// maximizes the capacity of the group's scarcest layer; among equal spans the longest.
	LayerSpan spanForReplica(uint32_t _member) const
	{
		const std::vector<double> capacities = layerCapacities();
		const auto scarcest =
		    static_cast<uint32_t>(std::min_element(capacities.begin(), capacities.end()) - capacities.begin());
		LayerSpan best;
		double bestCapacity = 0;
		for (uint32_t count = maxLayers(_member, replicaCapacity(capacity_)); 0 < count; --count)
		{
			const uint32_t first = scarcest + 1 - std::min(scarcest + 1, count);
			for (uint32_t begin = scarcest + 1; first < begin; --begin)
			{
				const LayerSpan span{begin - 1, begin - 1 + count};
				const double capacity = span.end <= engine_.layers ? minCapacityWith(capacities, _member, span) : 0;
				if (bestCapacity < capacity)
				{
					bestCapacity = capacity;
					best = span;
				}
			}
		}
		return best;
	}

	void repairGaps(const RepairScope& _scope, std::vector<LayoutOrder>& _orders)
	{
		for (LayerSpan lost = gap(); 0 < lost.size(); lost = gap())
		{
			const bool repaired = takeOver(lost, _orders) || (_scope.mayShiftBorders && shiftBorders(lost, _orders));
			if (!repaired)
			{
				return;
			}
		}
	}

	/// @returns targets that hold nothing, or only layers that others hold too: the empty ones first, then those with
	/// the fewest tokens of running requests. A target unloads layers only when the requests that use them have ended,
	/// which takes seconds if it is busy.
	TargetIndices reassignable() const
	{
		TargetIndices found;
		TargetIndices others;
		for (const uint32_t member : members_)
		{
			(isEmpty(member) ? found : others).push_back(member);
		}
		std::stable_sort(others.begin(), others.end(),
		                 [this](uint32_t _a, uint32_t _b)
		                 {
			                 return targets_[_a].tokens < targets_[_b].tokens;
		                 });
		std::vector<uint32_t> held = coverage(engine_, targets_, members_);
		for (const uint32_t member : others)
		{
			const LayerSpan span = targets_[member].held;
			const bool isFree = std::all_of(held.begin() + span.begin, held.begin() + span.end,
			                                [](uint32_t _count)
			                                {
				                                return 1 < _count;
			                                });
			for (uint32_t layer = span.begin; isFree && layer < span.end; ++layer)
			{
				--held[layer];
			}
			if (isFree)
			{
				found.push_back(member);
			}
		}
		return found;
	}

	/// Assigns a lost range to targets that hold nothing or only second copies: to as few as can retain their capacity.
	bool takeOver(LayerSpan _lost, std::vector<LayoutOrder>& _orders)
	{
		const TargetIndices free = reassignable();
		for (const double share : kCapacityShares)
		{
			TargetIndices window;
			for (const uint32_t member : free)
			{
				window.push_back(member);
				const bool holds = _lost.size() <= totalLayersThatFit(engine_, targets_, window, capacity_ * share);
				if (holds && spread(window, _lost, _orders))
				{
					return true;
				}
			}
		}
		return false;
	}

	/// Moves layer boundaries next to a gap so that it is covered again. Involves the fewest targets on its two sides
	/// that can take it over and retain some capacity, with reassignable ones between them. No other target loads or
	/// unloads layers.
	bool shiftBorders(LayerSpan _lost, std::vector<LayoutOrder>& _orders)
	{
		for (const double share : kCapacityShares)
		{
			if (shiftBordersWith(_lost, capacity_ * share, _orders))
			{
				return true;
			}
		}
		return false;
	}

	bool shiftBordersWith(LayerSpan _lost, double _capacity, std::vector<LayoutOrder>& _orders)
	{
		TargetIndices window = reassignable();
		TargetIndices sorted;
		for (const uint32_t member : members_)
		{
			if (window.end() == std::find(window.begin(), window.end(), member))
			{
				sorted.push_back(member);
			}
		}
		std::stable_sort(sorted.begin(), sorted.end(),
		                 [this](uint32_t _a, uint32_t _b)
		                 {
			                 return targets_[_a].held.begin < targets_[_b].held.begin;
		                 });
		const auto isBefore = [this, _lost](uint32_t _member)
		{
			return targets_[_member].held.begin < _lost.begin;
		};
		auto left = std::partition_point(sorted.begin(), sorted.end(), isBefore);
		auto right = left;
		LayerSpan span = _lost;
		while (totalLayersThatFit(engine_, targets_, window, _capacity) < span.size())
		{
			const bool hasLeft = sorted.begin() != left;
			const bool hasRight = sorted.end() != right;
			if (!hasLeft && !hasRight)
			{
				return false;
			}
			if (hasLeft && (!hasRight || spareLayers(*right, _capacity) <= spareLayers(*(left - 1), _capacity)))
			{
				--left;
				window.insert(window.begin(), *left);
				span.begin = std::min(span.begin, targets_[*left].held.begin);
				continue;
			}
			window.push_back(*right);
			span.end = std::max(span.end, targets_[*right].held.end);
			++right;
		}
		return spread(window, span, _orders);
	}

	/// @returns how many layers a target could hold in addition to its own with the given capacity; may be negative.
	int spareLayers(uint32_t _member, double _capacity) const
	{
		return static_cast<int>(maxLayers(_member, _capacity)) - static_cast<int>(targets_[_member].held.size());
	}

	/// Assigns a span to targets in their order, with equal capacity at each.
	/// @returns false, and adds no order, if the orders are not safe for running requests.
	bool spread(const TargetIndices& _window, LayerSpan _span, std::vector<LayoutOrder>& _orders)
	{
		const double capacity = maxCapacity(engine_, targets_, _window, _span.size());
		std::vector<LayoutOrder> chain;
		assignSpan(engine_, targets_, _window, capacity, _span, chain);
		std::vector<LayoutTarget> before = targets_;
		std::vector<LayoutOrder> orders = _orders;
		for (const LayoutOrder& one : chain)
		{
			order(one.target, one.layers, orders);
		}
		if (nullptr != safety_ && !safety_->allows(orders))
		{
			targets_ = std::move(before);
			return false;
		}
		_orders = std::move(orders);
		return true;
	}

	void order(uint32_t _target, LayerSpan _span, std::vector<LayoutOrder>& _orders)
	{
		if (0 == _span.size() || _span == targets_[_target].held)
		{
			return;
		}
		targets_[_target].held = _span;
		for (LayoutOrder& earlier : _orders)
		{
			if (_target == earlier.target)
			{
				earlier.layers = _span;
				return;
			}
		}
		_orders.push_back(LayoutOrder{_target, _span});
	}

	const EngineSpec& engine_;
	const OrderSafety* safety_;
	std::vector<LayoutTarget> targets_; //!< State after the orders so far.
	const TargetIndices& members_;
	double capacity_; //!< Planned capacity of each target, tokens.
};

} // namespace

std::vector<LayoutOrder> repairLayout(const EngineSpec& _engine, const std::vector<LayoutTarget>& _targets,
                                      const LayoutPolicy& _policy, const RepairScope& _scope)
{
	const OrderSafety safety(_engine, _targets);
	std::vector<LayoutOrder> orders;
	for (const TargetIndices& group : chainGroups(_engine, _targets, _policy))
	{
		GroupRepair(_engine, _targets, group, _policy, _policy.makeBeforeBreak ? &safety : nullptr).run(_scope, orders);
	}
	return orders;
}

} // namespace sedgecart

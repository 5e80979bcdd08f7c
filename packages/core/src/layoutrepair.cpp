// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "layoutinuse_p.h"
#include "layoutroom_p.h"

#include <algorithm>

namespace sedgecart
{

namespace
{

/// Shares of the planned room with which a lost range may be taken over, tried in turn: a tight part that serves is
/// worth more than a missing one.
constexpr double kRoomShares[] = {1, 0.75, 0.5, 0.25};

/// How often each layer is held.
std::vector<uint32_t> coverage(const EngineSpec& _engine, const std::vector<LayoutTarget>& _targets,
                               const Members& _members)
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

/// @returns the first range that nobody holds, empty if there is none.
LayerSpan firstHole(const std::vector<uint32_t>& _held)
{
	const auto begin = std::find(_held.begin(), _held.end(), 0U);
	const auto end = std::find_if(begin, _held.end(),
	                              [](uint32_t _count)
	                              {
		                              return 0 < _count;
	                              });
	return LayerSpan{static_cast<uint32_t>(begin - _held.begin()), static_cast<uint32_t>(end - _held.begin())};
}

/// The repair of one group.
class GroupRepair
{
public:
	/// @param _inUse null if orders may take anything from targets in use.
	GroupRepair(const EngineSpec& _engine, const std::vector<LayoutTarget>& _targets, const Members& _members,
	            const LayoutPolicy& _policy, const LayoutInUse* _inUse)
	    : engine_(_engine),
	      inUse_(_inUse),
	      targets_(_targets),
	      members_(_members),
	      room_(plannedRoom(_engine, _targets, _members, _policy))
	{
	}

	void run(const RepairScope& _scope, std::vector<LayoutOrder>& _orders)
	{
		fillHoles(_orders);
		mendHoles(_scope, _orders);
		if (0 < hole().size())
		{
			return;
		}
		for (const uint32_t member : members_)
		{
			if (_scope.mayDouble && isEmpty(member))
			{
				order(member, weakest(member), _orders);
			}
		}
	}

private:
	LayerSpan hole() const
	{
		return firstHole(coverage(engine_, targets_, members_));
	}

	bool isEmpty(uint32_t _member) const
	{
		return 0 == targets_[_member].held.size();
	}

	uint32_t most(uint32_t _member, double _room) const
	{
		return layersThatFit(engine_, targets_[_member].card, _room);
	}

	/// Lets empty targets take what nobody holds, each the whole of a range if it keeps its room. The smallest target
	/// that can does it, so that larger ranges find a larger one.
	void fillHoles(std::vector<LayoutOrder>& _orders)
	{
		LayerSpan range = hole();
		while (0 < range.size())
		{
			const uint32_t taker = smallestTaker(range);
			if (targets_.size() != taker)
			{
				order(taker, range, _orders);
			}
			std::vector<uint32_t> held = coverage(engine_, targets_, members_);
			std::fill(held.begin(), held.begin() + range.end, 1); // ranges before it are settled
			range = firstHole(held);
		}
	}

	/// @returns the empty target with least memory that can hold a range, the number of targets if there is none.
	uint32_t smallestTaker(LayerSpan _range) const
	{
		auto found = static_cast<uint32_t>(targets_.size());
		for (const uint32_t member : members_)
		{
			const bool takes = isEmpty(member) && _range.size() <= most(member, room_);
			const bool smaller =
			    targets_.size() == found || targets_[member].card.memoryMb < targets_[found].card.memoryMb;
			found = takes && smaller ? member : found;
		}
		return found;
	}

	/// @returns the room that the holders of each layer have together, tokens.
	std::vector<double> roomOfLayers() const
	{
		std::vector<double> rooms(engine_.layers, 0);
		for (const uint32_t member : members_)
		{
			const LayerSpan span = targets_[member].held;
			const double room = roomFor(engine_, targets_[member].card, span.size());
			for (uint32_t layer = span.begin; layer < std::min(span.end, engine_.layers); ++layer)
			{
				rooms[layer] += room;
			}
		}
		return rooms;
	}

	/// @returns the room of the group's tightest layer if a member held a span too, tokens.
	double tightestWith(std::vector<double> _rooms, uint32_t _member, LayerSpan _span) const
	{
		const double own = roomFor(engine_, targets_[_member].card, _span.size());
		for (uint32_t layer = _span.begin; layer < _span.end; ++layer)
		{
			_rooms[layer] += own;
		}
		return *std::min_element(_rooms.begin(), _rooms.end());
	}

	/// @returns what an empty target holds where nothing is lost: layers around the tightest one, those with which the
	/// group's tightest layer has most room; of like ones the most layers.
	LayerSpan weakest(uint32_t _member) const
	{
		const std::vector<double> rooms = roomOfLayers();
		const auto tightest = static_cast<uint32_t>(std::min_element(rooms.begin(), rooms.end()) - rooms.begin());
		LayerSpan best;
		double bestRoom = 0;
		for (uint32_t count = most(_member, sharedRoom(room_)); 0 < count; --count)
		{
			const uint32_t first = tightest + 1 - std::min(tightest + 1, count);
			for (uint32_t begin = tightest + 1; first < begin; --begin)
			{
				const LayerSpan span{begin - 1, begin - 1 + count};
				const double room = span.end <= engine_.layers ? tightestWith(rooms, _member, span) : 0;
				if (bestRoom < room)
				{
					bestRoom = room;
					best = span;
				}
			}
		}
		return best;
	}

	void mendHoles(const RepairScope& _scope, std::vector<LayoutOrder>& _orders)
	{
		for (LayerSpan lost = hole(); 0 < lost.size(); lost = hole())
		{
			const bool mended = takeOver(lost, _orders) || (_scope.mayShift && shift(lost, _orders));
			if (!mended)
			{
				return;
			}
		}
	}

	/// @returns targets that hold nothing, or only what others hold too. Those with least under way first: a target
	/// gives layers up only once the requests over them have ended, which takes seconds where it is busy.
	Members freeMembers() const
	{
		Members found;
		Members others;
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

	/// Lets targets that hold nothing, or second copies only, take over a lost range: as few as can keep their room.
	bool takeOver(LayerSpan _lost, std::vector<LayoutOrder>& _orders)
	{
		const Members free = freeMembers();
		for (const double share : kRoomShares)
		{
			Members window;
			for (const uint32_t member : free)
			{
				window.push_back(member);
				const bool holds = _lost.size() <= layersThatFitAll(engine_, targets_, window, room_ * share);
				if (holds && spread(window, _lost, _orders))
				{
					return true;
				}
			}
		}
		return false;
	}

	/// Shifts borders next to a hole so that it is covered again: the fewest targets on its two sides that can take it
	/// over and keep some room, with free ones between them. Only they load and give up layers.
	bool shift(LayerSpan _lost, std::vector<LayoutOrder>& _orders)
	{
		for (const double share : kRoomShares)
		{
			if (shiftWith(_lost, room_ * share, _orders))
			{
				return true;
			}
		}
		return false;
	}

	bool shiftWith(LayerSpan _lost, double _room, std::vector<LayoutOrder>& _orders)
	{
		Members window = freeMembers();
		Members sorted;
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
		while (layersThatFitAll(engine_, targets_, window, _room) < span.size())
		{
			const bool hasLeft = sorted.begin() != left;
			const bool hasRight = sorted.end() != right;
			if (!hasLeft && !hasRight)
			{
				return false;
			}
			if (hasLeft && (!hasRight || slack(*right, _room) <= slack(*(left - 1), _room)))
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

	/// @returns layers that a target could take beside its own and keep its room.
	int slack(uint32_t _member, double _room) const
	{
		return static_cast<int>(most(_member, _room)) - static_cast<int>(targets_[_member].held.size());
	}

	/// Lays a span over targets in their order, each with like room.
	/// @returns false, and orders nothing, if targets in use would lose too much.
	bool spread(const Members& _window, LayerSpan _span, std::vector<LayoutOrder>& _orders)
	{
		const double room = mostRoom(engine_, targets_, _window, _span.size());
		std::vector<LayoutOrder> chain;
		layInOrder(engine_, targets_, _window, room, _span, chain);
		std::vector<LayoutTarget> before = targets_;
		std::vector<LayoutOrder> orders = _orders;
		for (const LayoutOrder& one : chain)
		{
			order(one.target, one.layers, orders);
		}
		if (nullptr != inUse_ && !inUse_->allows(orders))
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
	const LayoutInUse* inUse_;
	std::vector<LayoutTarget> targets_; //!< As they will be.
	const Members& members_;
	double room_; //!< That each target is planned with, tokens.
};

} // namespace

std::vector<LayoutOrder> repairLayout(const EngineSpec& _engine, const std::vector<LayoutTarget>& _targets,
                                      const LayoutPolicy& _policy, const RepairScope& _scope)
{
	const LayoutInUse inUse(_engine, _targets);
	std::vector<LayoutOrder> orders;
	for (const Members& group : chainGroups(_engine, _targets, _policy))
	{
		GroupRepair(_engine, _targets, group, _policy, _policy.makeBeforeBreak ? &inUse : nullptr).run(_scope, orders);
	}
	return orders;
}

} // namespace sedgecart

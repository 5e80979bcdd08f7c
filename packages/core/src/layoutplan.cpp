// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <core/layerpath.h>
#include <core/layoutplan.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>

namespace sedgecart
{

namespace
{

/// Least room that a part is planned with, tokens: some 20 requests of a usual size. Below it a part refuses in any
/// burst, and a chain through another hall serves better.
constexpr double kLeastRoom = 20000;

/// Least room that a part keeps when targets take over what was lost, tokens: some twice what a chain of today's sites
/// takes under its usual load (25 requests a second, 900 tokens, 1.8 s). With less the whole chain refuses in a burst,
/// and the chains of other halls serve better.
constexpr double kRepairRoom = 70000;

/// Parts that a chain of a hall is planned with at most. Targets accept 32; a chain that shifts over a lost range, or
/// that borrows a part, needs some more than it was planned with, and each hop costs every token half a millisecond.
constexpr std::size_t kPlannedParts = 20;

/// Chains that a hall is laid out in where room allows, so that no single target's end leaves it without one.
constexpr std::size_t kWantedChains = 2;

/// Room that each chain must keep for a hall to be laid out in one more than length asks for, tokens: what a hall of
/// the grown sites takes in all under its usual load (50 requests a second, 900 tokens, 2.5 s).
constexpr double kSpareRoom = 120000;

/// Steps of the search for the most room; each halves the interval, so 40 leave well under a token.
constexpr int kRoomSteps = 40;

using Members = std::vector<uint32_t>;

double kvMbPerTokenLayer(const EngineSpec& _engine)
{
	constexpr double kBytesPerMb = 1e6;
	return _engine.kvBytesPerToken / _engine.layers / kBytesPerMb;
}

uint32_t layersThatFitAll(const EngineSpec& _engine, const std::vector<LayoutTarget>& _targets, const Members& _members,
                          double _room)
{
	uint32_t sum = 0;
	for (const uint32_t member : _members)
	{
		sum += layersThatFit(_engine, _targets[member].card, _room);
	}
	return sum;
}

/// @returns the most room with which the members still hold the whole model, below 0 if they cannot.
double mostRoom(const EngineSpec& _engine, const std::vector<LayoutTarget>& _targets, const Members& _members)
{
	if (layersThatFitAll(_engine, _targets, _members, kLeastRoom) < _engine.layers)
	{
		return -1;
	}
	double low = kLeastRoom;
	double high = 1e8;
	for (int step = 0; step < kRoomSteps; ++step)
	{
		const double middle = (low + high) / 2;
		const bool fits = _engine.layers <= layersThatFitAll(_engine, _targets, _members, middle);
		(fits ? low : high) = middle;
	}
	return low;
}

/// Lays one chain over the members, in their order. Layers that fit beyond the model are taken off the slowest cards.
void planChain(const EngineSpec& _engine, const std::vector<LayoutTarget>& _targets, const Members& _members,
               double _room, std::vector<LayoutOrder>& _orders)
{
	std::vector<uint32_t> counts;
	uint32_t sum = 0;
	for (const uint32_t member : _members)
	{
		counts.push_back(std::min(_engine.layers, layersThatFit(_engine, _targets[member].card, _room)));
		sum += counts.back();
	}
	while (_engine.layers < sum)
	{
		std::size_t slowest = 0;
		double worst = -1;
		for (std::size_t index = 0; index < counts.size(); ++index)
		{
			const double time = counts[index] * _targets[_members[index]].card.stepFactor;
			if (0 < counts[index] && worst < time)
			{
				worst = time;
				slowest = index;
			}
		}
		--counts[slowest];
		--sum;
	}
	uint32_t begin = 0;
	for (std::size_t index = 0; index < counts.size(); ++index)
	{
		if (0 < counts[index])
		{
			_orders.push_back(LayoutOrder{_members[index], LayerSpan{begin, begin + counts[index]}});
			begin += counts[index];
		}
	}
}

/// @returns the targets that share a chain: those of a hall, and together those of all halls too small for the model.
std::vector<Members> chainGroups(const EngineSpec& _engine, const std::vector<LayoutTarget>& _targets)
{
	std::map<uint32_t, Members> halls;
	for (uint32_t index = 0; index < _targets.size(); ++index)
	{
		halls[_targets[index].hall].push_back(index);
	}
	std::vector<Members> groups;
	Members rest;
	for (const auto& row : halls)
	{
		if (mostRoom(_engine, _targets, row.second) < 0)
		{
			rest.insert(rest.end(), row.second.begin(), row.second.end());
			continue;
		}
		groups.push_back(row.second);
	}
	if (!rest.empty())
	{
		groups.push_back(rest);
	}
	return groups;
}

/// @returns the targets of a group by memory, largest first.
Members largestFirst(const std::vector<LayoutTarget>& _targets, Members _members)
{
	std::stable_sort(_members.begin(), _members.end(),
	                 [&_targets](uint32_t _a, uint32_t _b)
	                 {
		                 return _targets[_b].card.memoryMb < _targets[_a].card.memoryMb;
	                 });
	return _members;
}

double memoryOf(const std::vector<LayoutTarget>& _targets, const Members& _members)
{
	double sum = 0;
	for (const uint32_t member : _members)
	{
		sum += _targets[member].card.memoryMb;
	}
	return sum;
}

/// Deals a group out to some chains of like memory. Those beyond the longest chain that targets accept stay idle.
std::vector<Members> dealOut(const std::vector<LayoutTarget>& _targets, const Members& _group, std::size_t _chains)
{
	std::vector<Members> chains(_chains);
	for (const uint32_t member : largestFirst(_targets, _group))
	{
		const auto smallest = std::min_element(chains.begin(), chains.end(),
		                                       [&_targets](const Members& _a, const Members& _b)
		                                       {
			                                       return memoryOf(_targets, _a) < memoryOf(_targets, _b);
		                                       });
		if (smallest->size() < kMostParts)
		{
			smallest->push_back(member);
		}
	}
	for (Members& chain : chains)
	{
		std::sort(chain.begin(), chain.end());
	}
	return chains;
}

/// @returns the chains that a group is laid out in: few enough that each keeps its room, short enough that a path
/// through one is accepted.
std::vector<Members> chainsOf(const EngineSpec& _engine, const std::vector<LayoutTarget>& _targets,
                              const Members& _group)
{
	const std::size_t shortEnough = (_group.size() + kPlannedParts - 1) / kPlannedParts;
	for (std::size_t count = std::max(kWantedChains, shortEnough); 1 < count; --count)
	{
		const double least = shortEnough < count ? kSpareRoom : kRepairRoom;
		std::vector<Members> chains = dealOut(_targets, _group, count);
		const bool roomy = std::all_of(chains.begin(), chains.end(),
		                               [&_engine, &_targets, least](const Members& _chain)
		                               {
			                               return least <= mostRoom(_engine, _targets, _chain);
		                               });
		if (roomy)
		{
			return chains;
		}
	}
	return dealOut(_targets, _group, 1);
}

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

/// @returns the first range that is held less often than `_copies`, empty if there is none. Its layers are held equally
/// often.
LayerSpan firstBelow(const std::vector<uint32_t>& _held, uint32_t _copies)
{
	const auto begin = std::find_if(_held.begin(), _held.end(),
	                                [_copies](uint32_t _count)
	                                {
		                                return _count < _copies;
	                                });
	if (_held.end() == begin)
	{
		return LayerSpan{};
	}
	const uint32_t count = *begin;
	const auto end = std::find_if(begin, _held.end(),
	                              [count](uint32_t _count)
	                              {
		                              return count != _count;
	                              });
	return LayerSpan{static_cast<uint32_t>(begin - _held.begin()), static_cast<uint32_t>(end - _held.begin())};
}

/// @returns the first range that nobody holds, empty if there is none.
LayerSpan firstHole(const std::vector<uint32_t>& _held)
{
	return firstBelow(_held, 1);
}

/// The repair of one group.
class GroupRepair
{
public:
	GroupRepair(const EngineSpec& _engine, const std::vector<LayoutTarget>& _targets, const Members& _members)
	    : engine_(_engine),
	      targets_(_targets),
	      members_(_members),
	      copies_(static_cast<uint32_t>(chainsOf(_engine, _targets, _members).size()))
	{
	}

	void run(const RepairScope& _scope, std::vector<LayoutOrder>& _orders)
	{
		for (uint32_t copies = 1; copies <= copies_; ++copies)
		{
			fill(copies, _orders);
		}
		LayerSpan hole = firstHole(coverage(engine_, targets_, members_));
		while (_scope.mayShift && 0 < hole.size() && shift(hole, _orders))
		{
			hole = firstHole(coverage(engine_, targets_, members_));
		}
		if (0 < hole.size())
		{
			return;
		}
		for (const uint32_t member : members_)
		{
			if (_scope.mayDouble && 0 == targets_[member].held.size())
			{
				order(member, fitting(member, tightest()), _orders);
			}
		}
	}

private:
	/// Lets empty targets take what is held less often than `_copies`, each the whole of a range if it keeps its room.
	/// The smallest target that can does it, so that larger ranges find a larger one.
	void fill(uint32_t _copies, std::vector<LayoutOrder>& _orders)
	{
		LayerSpan range = firstBelow(coverage(engine_, targets_, members_), _copies);
		while (0 < range.size())
		{
			const uint32_t taker = smallestTaker(range);
			if (targets_.size() != taker)
			{
				order(taker, range, _orders);
			}
			std::vector<uint32_t> held = coverage(engine_, targets_, members_);
			std::fill(held.begin(), held.begin() + range.end, _copies); // ranges before it are settled
			range = firstBelow(held, _copies);
		}
	}

	/// @returns the empty target with least memory that can hold a range, the number of targets if there is none.
	uint32_t smallestTaker(LayerSpan _range) const
	{
		auto found = static_cast<uint32_t>(targets_.size());
		for (const uint32_t member : members_)
		{
			const bool takes = 0 == targets_[member].held.size() && _range == fitting(member, _range);
			const bool smaller =
			    targets_.size() == found || targets_[member].card.memoryMb < targets_[found].card.memoryMb;
			found = takes && smaller ? member : found;
		}
		return found;
	}

	/// @returns as many layers of a span, from its begin, as a target can hold and keep its room.
	LayerSpan fitting(uint32_t _member, LayerSpan _span) const
	{
		const uint32_t most = layersThatFit(engine_, targets_[_member].card, kRepairRoom);
		return LayerSpan{_span.begin, std::min(_span.end, _span.begin + most)};
	}

	/// @returns the range of the target with least room that nobody else holds.
	LayerSpan tightest() const
	{
		const std::vector<uint32_t> held = coverage(engine_, targets_, members_);
		LayerSpan found;
		double least = std::numeric_limits<double>::infinity();
		for (const uint32_t member : members_)
		{
			const LayoutTarget& target = targets_[member];
			const bool alone = 0 < target.held.size() && 1 == held[target.held.begin];
			const double room = roomFor(engine_, target.card, target.held.size());
			if (alone && room < least)
			{
				least = room;
				found = target.held;
			}
		}
		return found;
	}

	/// Shifts borders next to a hole so that it is covered again: the fewest targets on its two sides that can take it
	/// over and keep their room, with empty ones between them. Only they load and give up layers.
	bool shift(LayerSpan _hole, std::vector<LayoutOrder>& _orders)
	{
		Members sorted;
		Members window;
		for (const uint32_t member : members_)
		{
			(0 < targets_[member].held.size() ? sorted : window).push_back(member);
		}
		std::stable_sort(sorted.begin(), sorted.end(),
		                 [this](uint32_t _a, uint32_t _b)
		                 {
			                 return targets_[_a].held.begin < targets_[_b].held.begin;
		                 });
		const auto isBefore = [this, _hole](uint32_t _member)
		{
			return targets_[_member].held.begin < _hole.begin;
		};
		auto left = std::partition_point(sorted.begin(), sorted.end(), isBefore);
		auto right = left;
		LayerSpan span = _hole;
		while (!fits(window, span))
		{
			const bool hasLeft = sorted.begin() != left;
			const bool hasRight = sorted.end() != right;
			if (!hasLeft && !hasRight)
			{
				return false;
			}
			if (hasLeft && (!hasRight || spare(*right) <= spare(*(left - 1))))
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
		spread(window, span, _orders);
		return true;
	}

	/// @returns true if the targets can hold a span together and keep their room.
	bool fits(const Members& _window, LayerSpan _span) const
	{
		return _span.size() <= layersThatFitAll(engine_, targets_, _window, kRepairRoom);
	}

	/// @returns layers that a target could take beside its own and keep its room.
	int spare(uint32_t _member) const
	{
		const uint32_t most = layersThatFit(engine_, targets_[_member].card, kRepairRoom);
		return static_cast<int>(most) - static_cast<int>(targets_[_member].held.size());
	}

	/// Lays a span over targets in their order, each with like room.
	void spread(const Members& _window, LayerSpan _span, std::vector<LayoutOrder>& _orders)
	{
		EngineSpec part = engine_;
		part.layers = _span.size();
		part.kvBytesPerToken = engine_.kvBytesPerToken * _span.size() / engine_.layers;
		std::vector<LayoutOrder> chain;
		planChain(part, targets_, _window, mostRoom(part, targets_, _window), chain);
		for (const LayoutOrder& one : chain)
		{
			order(one.target, LayerSpan{_span.begin + one.layers.begin, _span.begin + one.layers.end}, _orders);
		}
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
	std::vector<LayoutTarget> targets_; //!< As they will be.
	const Members& members_;
	uint32_t copies_; //!< Chains that the group is laid out in.
};

} // namespace

uint32_t layersThatFit(const EngineSpec& _engine, const CardKind& _card, double _roomTokens)
{
	const double perLayer = _engine.layerMb + _roomTokens * kvMbPerTokenLayer(_engine);
	return static_cast<uint32_t>(std::max(0.0, std::floor(_card.memoryMb / perLayer)));
}

double roomFor(const EngineSpec& _engine, const CardKind& _card, uint32_t _layers)
{
	if (0 == _layers)
	{
		return std::numeric_limits<double>::infinity();
	}
	return (_card.memoryMb / _layers - _engine.layerMb) / kvMbPerTokenLayer(_engine);
}

std::vector<LayoutOrder> planLayout(const EngineSpec& _engine, const std::vector<LayoutTarget>& _targets)
{
	std::vector<LayoutOrder> orders;
	for (const Members& group : chainGroups(_engine, _targets))
	{
		for (const Members& chain : chainsOf(_engine, _targets, group))
		{
			const double room = mostRoom(_engine, _targets, chain);
			if (0 <= room)
			{
				planChain(_engine, _targets, chain, room, orders);
			}
		}
	}
	return orders;
}

std::vector<LayoutOrder> repairLayout(const EngineSpec& _engine, const std::vector<LayoutTarget>& _targets,
                                      const RepairScope& _scope)
{
	std::vector<LayoutOrder> orders;
	for (const Members& group : chainGroups(_engine, _targets))
	{
		GroupRepair(_engine, _targets, group).run(_scope, orders);
	}
	return orders;
}

} // namespace sedgecart

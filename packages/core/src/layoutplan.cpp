// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

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

/// Least room that a neighbour keeps when it takes a lost range over, tokens: twice what a chain of today's sites takes
/// under its usual load (25 requests a second, 900 tokens, 1.8 s). With less the whole chain refuses in a burst, and a
/// part borrowed from another hall serves better.
constexpr double kExtendRoom = 80000;

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
	GroupRepair(const EngineSpec& _engine, const std::vector<LayoutTarget>& _targets, const Members& _members)
	    : engine_(_engine),
	      targets_(_targets),
	      members_(_members)
	{
	}

	void run(bool _mayExtend, std::vector<LayoutOrder>& _orders)
	{
		for (const uint32_t member : members_)
		{
			if (0 == targets_[member].held.size())
			{
				fill(member, _orders);
			}
		}
		if (_mayExtend)
		{
			extendNeighbours(_orders);
		}
	}

private:
	/// Gives an empty target the most wanted range.
	void fill(uint32_t _member, std::vector<LayoutOrder>& _orders)
	{
		LayerSpan span = firstHole(coverage(engine_, targets_, members_));
		if (0 == span.size())
		{
			span = tightest();
		}
		const uint32_t most = layersThatFit(engine_, targets_[_member].card, kLeastRoom);
		span.end = std::min(span.end, span.begin + most);
		order(_member, span, _orders);
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

	/// Lets the targets on both sides of each hole take it over, as far as they have the room.
	void extendNeighbours(std::vector<LayoutOrder>& _orders)
	{
		const std::vector<LayoutTarget> before = targets_;
		const std::vector<LayoutOrder> orders = _orders;
		LayerSpan hole = firstHole(coverage(engine_, targets_, members_));
		for (uint32_t step = 0; 0 < hole.size() && step < engine_.layers; ++step)
		{
			const uint32_t member = roomiestNeighbour(hole);
			if (members_.size() == member)
			{
				// A part of a hole is of no use: the range is still missing.
				targets_ = before;
				_orders = orders;
				return;
			}
			const uint32_t target = members_[member];
			LayerSpan span = targets_[target].held;
			(span.end == hole.begin ? span.end : span.begin) += span.end == hole.begin ? 1 : -1;
			order(target, span, _orders);
			hole = firstHole(coverage(engine_, targets_, members_));
		}
	}

	/// @returns index among the members, their number if none may take a layer more.
	uint32_t roomiestNeighbour(LayerSpan _hole) const
	{
		uint32_t found = static_cast<uint32_t>(members_.size());
		double most = kExtendRoom;
		for (uint32_t index = 0; index < members_.size(); ++index)
		{
			const LayoutTarget& target = targets_[members_[index]];
			const bool touches = target.held.end == _hole.begin || target.held.begin == _hole.end;
			const double room = roomFor(engine_, target.card, target.held.size() + 1);
			if (0 < target.held.size() && touches && most <= room)
			{
				most = room;
				found = index;
			}
		}
		return found;
	}

	void order(uint32_t _target, LayerSpan _span, std::vector<LayoutOrder>& _orders)
	{
		if (0 == _span.size())
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
		const double room = mostRoom(_engine, _targets, group);
		if (0 <= room)
		{
			planChain(_engine, _targets, group, room, orders);
		}
	}
	return orders;
}

std::vector<LayoutOrder> repairLayout(const EngineSpec& _engine, const std::vector<LayoutTarget>& _targets,
                                      bool _mayExtend)
{
	std::vector<LayoutOrder> orders;
	for (const Members& group : chainGroups(_engine, _targets))
	{
		GroupRepair(_engine, _targets, group).run(_mayExtend, orders);
	}
	return orders;
}

} // namespace sedgecart

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "layoutroom_p.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <limits>
#include <map>
#include <numeric>

namespace sedgecart
{

namespace
{

/// Room with which a hall's own chain is taken without a closer look, tokens: some 20 requests of a usual size. Below
/// it `servesBetterAlone` decides.
constexpr double kLeastRoom = 20000;

/// Parts that a chain is planned with at most. Targets accept 32; a path that goes around a lost part needs some more
/// than its chain was planned with, and each hop costs every token half a millisecond.
constexpr std::size_t kPlannedParts = 20;

/// More room than any target has, tokens.
constexpr double kAllRoom = 1e8;

/// Steps of a search for the most room; each halves the interval, so 40 leave well under a token.
constexpr int kRoomSteps = 40;

/// @returns tokens that a usual request has at its end; 0 if the operator names none.
double usualTokens(const EngineSpec& _engine)
{
	return 0 < _engine.usualPromptTokens ? _engine.usualPromptTokens + _engine.usualAnswerTokens : 0;
}

/// @returns the least room that is of use, tokens: for one usual request.
double leastRoom(const EngineSpec& _engine)
{
	const double usual = usualTokens(_engine);
	return 0 < usual ? std::min(kLeastRoom, usual) : kLeastRoom;
}

/// @returns the most room from `_least` up to `_most` that passes a test which less room passes more easily, below 0 if
/// even the least does not.
double searchRoom(double _least, double _most, const std::function<bool(double)>& _fits)
{
	if (!_fits(_least))
	{
		return -1;
	}
	if (_fits(_most))
	{
		return _most;
	}
	double low = _least;
	double high = _most;
	for (int step = 0; step < kRoomSteps; ++step)
	{
		const double middle = (low + high) / 2;
		(_fits(middle) ? low : high) = middle;
	}
	return low;
}

/// @returns the members by speed, fastest first, of like ones the larger first.
Members fastestFirst(const std::vector<LayoutTarget>& _targets, Members _members)
{
	std::stable_sort(_members.begin(), _members.end(),
	                 [&_targets](uint32_t _a, uint32_t _b)
	                 {
		                 const CardKind& a = _targets[_a].card;
		                 const CardKind& b = _targets[_b].card;
		                 const bool alike = a.stepFactor == b.stepFactor;
		                 return alike ? b.memoryMb < a.memoryMb : a.stepFactor < b.stepFactor;
	                 });
	return _members;
}

/// @returns how many of the members, from the first, hold the whole model together; one more than there are if all do
/// not.
std::size_t firstThatHold(const EngineSpec& _engine, const std::vector<LayoutTarget>& _targets, const Members& _members,
                          double _room)
{
	uint32_t sum = 0;
	for (std::size_t count = 0; count < _members.size(); ++count)
	{
		sum += layersThatFit(_engine, _targets[_members[count]].card, _room);
		if (_engine.layers <= sum)
		{
			return count + 1;
		}
	}
	return _members.size() + 1;
}

bool isShort(std::size_t _parts, const Members& _members)
{
	return _parts <= std::min(kPlannedParts, _members.size());
}

/// Takes what fits beyond the span off the members of the slowest kind, off the largest share first.
void trim(const std::vector<LayoutTarget>& _targets, const Members& _members, uint32_t _excess,
          std::vector<uint32_t>& _counts)
{
	for (; 0 < _excess; --_excess)
	{
		std::size_t found = 0;
		for (std::size_t index = 1; index < _counts.size(); ++index)
		{
			const double speed = _targets[_members[index]].card.stepFactor;
			const double other = _targets[_members[found]].card.stepFactor;
			const bool larger = _counts[found] < _counts[index];
			const bool slower = other < speed || (other == speed && larger);
			found = 0 < _counts[index] && (0 == _counts[found] || slower) ? index : found;
		}
		--_counts[found];
	}
}

/// @returns how many of `_layers` layers each member holds: what fits beside `_room`, less what fits beyond them all.
std::vector<uint32_t> shares(const EngineSpec& _engine, const std::vector<LayoutTarget>& _targets,
                             const Members& _members, double _room, uint32_t _layers)
{
	std::vector<uint32_t> counts;
	uint32_t sum = 0;
	for (const uint32_t member : _members)
	{
		counts.push_back(std::min(_layers, layersThatFit(_engine, _targets[member].card, _room)));
		sum += counts.back();
	}
	trim(_targets, _members, sum - std::min(sum, _layers), counts);
	return counts;
}

void layCounts(const Members& _members, const std::vector<uint32_t>& _counts, uint32_t _begin,
               std::vector<LayoutOrder>& _orders)
{
	uint32_t begin = _begin;
	for (std::size_t index = 0; index < _members.size(); ++index)
	{
		if (0 < _counts[index])
		{
			_orders.push_back(LayoutOrder{_members[index], LayerSpan{begin, begin + _counts[index]}});
			begin += _counts[index];
		}
	}
}

/// @returns the members by the layers that fit, fewest first.
Members smallestFirst(const EngineSpec& _engine, const std::vector<LayoutTarget>& _targets, Members _members,
                      double _room)
{
	std::stable_sort(_members.begin(), _members.end(),
	                 [&](uint32_t _a, uint32_t _b)
	                 {
		                 return layersThatFit(_engine, _targets[_a].card, _room) <
		                        layersThatFit(_engine, _targets[_b].card, _room);
	                 });
	return _members;
}

/// @returns how many layers each member of a chain can hold, in the chain's order: more where doubles hold them too.
std::vector<uint32_t> chainShares(const EngineSpec& _engine, const std::vector<LayoutTarget>& _targets,
                                  const Members& _sorted, double _room, uint32_t _doubled)
{
	std::vector<uint32_t> counts;
	uint32_t begin = 0;
	for (const uint32_t member : _sorted)
	{
		const uint32_t alone = layersThatFit(_engine, _targets[member].card, _room);
		const uint32_t shared = layersThatFit(_engine, _targets[member].card, sharedRoom(_room));
		const uint32_t left = _doubled - std::min(_doubled, begin);
		counts.push_back(std::max(alone, std::min(shared, left)));
		begin += counts.back();
	}
	return counts;
}

/// @returns seconds that a usual request takes alone in a chain over the members with this room.
double usualSeconds(const EngineSpec& _engine, const std::vector<LayoutTarget>& _targets, const Members& _members,
                    double _room)
{
	constexpr double kMillisPerSecond = 1000;
	double layers = 0;
	double steps = 0;
	double reading = 0;
	for (const uint32_t member : _members)
	{
		const CardKind& card = _targets[member].card;
		const double held = layersThatFit(_engine, card, _room);
		layers += held;
		steps += held * card.stepFactor;
		reading += held * card.readFactor;
	}
	const double answer = _engine.usualAnswerTokens * _engine.stepMs / kMillisPerSecond * steps / layers;
	const bool readsKnown = 0 < _engine.readTokensPerSecond;
	return answer + (readsKnown ? _engine.usualPromptTokens / _engine.readTokensPerSecond * reading / layers : 0);
}

/// Whether a hall whose own chain would be tight serves more requests with it than with its part of a chain that halls
/// share. A shared chain has much room, but each prompt crosses between halls, and all share that link: beyond what it
/// bears everything queues there, while the memory stays empty.
/// @param _room of the hall's own chain.
/// @param _sharing halls that would share a chain.
bool servesBetterAlone(const EngineSpec& _engine, const std::vector<LayoutTarget>& _targets, const Members& _hall,
                       double _room, std::size_t _sharing)
{
	constexpr double kBitsPerMbit = 1e6;
	constexpr double kBitsPerByte = 8;
	if (_sharing < 2)
	{
		return true;
	}
	const double seconds = usualSeconds(_engine, _targets, _hall, _room);
	const double bits = usualTokens(_engine) * _engine.hopBytesPerToken * kBitsPerByte;
	if (_engine.hallLinkMbps <= 0 || bits <= 0 || seconds <= 0)
	{
		return false;
	}
	const double meanTokens = _engine.usualPromptTokens + _engine.usualAnswerTokens / 2;
	const double alone = _room / meanTokens / seconds;
	const double shared = _engine.hallLinkMbps * kBitsPerMbit / bits / static_cast<double>(_sharing);
	return shared <= alone;
}

/// Takes targets out of a group's only chain, the slowest first, as long as the others still hold the model with their
/// help.
void moveToDoubles(const EngineSpec& _engine, const std::vector<LayoutTarget>& _targets, double _room, GroupDeal& _deal)
{
	Members& chain = _deal.chains.front();
	while (1 < chain.size())
	{
		Members fewer = chain;
		Members doubles = _deal.doubles;
		doubles.insert(doubles.begin(), fewer.back());
		fewer.pop_back();
		const uint32_t doubled = doubledLayers(_engine, _targets, doubles, _room);
		const Members sorted = smallestFirst(_engine, _targets, fewer, _room);
		const std::vector<uint32_t> counts = chainShares(_engine, _targets, sorted, _room, doubled);
		if (std::accumulate(counts.begin(), counts.end(), 0U) < _engine.layers)
		{
			return;
		}
		chain = fewer;
		_deal.doubles = doubles;
	}
}

} // namespace

double kvMbPerTokenLayer(const EngineSpec& _engine)
{
	constexpr double kBytesPerMb = 1e6;
	return _engine.kvBytesPerToken / _engine.layers / kBytesPerMb;
}

uint32_t layersThatFit(const EngineSpec& _engine, const CardKind& _card, double _roomTokens)
{
	const double perLayer = _engine.layerMb + _roomTokens * kvMbPerTokenLayer(_engine);
	const double most = std::floor(_card.memoryMb / perLayer);
	return std::min(_engine.layers, static_cast<uint32_t>(std::max(0.0, most)));
}

double roomFor(const EngineSpec& _engine, const CardKind& _card, uint32_t _layers)
{
	if (0 == _layers)
	{
		return std::numeric_limits<double>::infinity();
	}
	return (_card.memoryMb / _layers - _engine.layerMb) / kvMbPerTokenLayer(_engine);
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

double mostRoom(const EngineSpec& _engine, const std::vector<LayoutTarget>& _targets, const Members& _members,
                uint32_t _layers)
{
	return searchRoom(leastRoom(_engine), kAllRoom,
	                  [&](double _room)
	                  {
		                  return _layers <= layersThatFitAll(_engine, _targets, _members, _room);
	                  });
}

std::vector<Members> chainGroups(const EngineSpec& _engine, const std::vector<LayoutTarget>& _targets,
                                 const LayoutPolicy& _policy)
{
	std::map<uint32_t, Members> halls;
	for (uint32_t index = 0; index < _targets.size(); ++index)
	{
		halls[_targets[index].hall].push_back(index);
	}
	std::map<uint32_t, double> rooms;
	std::size_t tight = 0;
	for (const auto& row : halls)
	{
		rooms[row.first] = mostRoom(_engine, _targets, row.second, _engine.layers);
		tight += rooms[row.first] < kLeastRoom ? 1 : 0;
	}
	std::vector<Members> groups;
	Members rest;
	for (const auto& row : halls)
	{
		const double room = rooms[row.first];
		const bool alone = kLeastRoom <= room || (0 <= room && _policy.tightAlone &&
		                                          servesBetterAlone(_engine, _targets, row.second, room, tight));
		if (alone)
		{
			groups.push_back(row.second);
			continue;
		}
		rest.insert(rest.end(), row.second.begin(), row.second.end());
	}
	if (!rest.empty())
	{
		groups.push_back(rest);
	}
	return groups;
}

double plannedRoom(const EngineSpec& _engine, const std::vector<LayoutTarget>& _targets, const Members& _group,
                   const LayoutPolicy& _policy)
{
	const bool asked = 0 < _engine.roomTokens && 0 < _policy.roomShare;
	const double wanted = asked ? std::max(kLeastRoom, _engine.roomTokens * _policy.roomShare) : kAllRoom;
	const Members members = fastestFirst(_targets, _group);
	const double room = searchRoom(kLeastRoom, wanted,
	                               [&](double _room)
	                               {
		                               return isShort(firstThatHold(_engine, _targets, members, _room), members);
	                               });
	// A group of many small targets has only chains that are longer than wished.
	return room < 0 ? mostRoom(_engine, _targets, _group, _engine.layers) : room;
}

GroupDeal dealOut(const EngineSpec& _engine, const std::vector<LayoutTarget>& _targets, const Members& _group,
                  double _room)
{
	GroupDeal deal;
	Members left = fastestFirst(_targets, _group);
	while (!left.empty())
	{
		const std::size_t count = firstThatHold(_engine, _targets, left, _room);
		const bool holds = count <= left.size();
		if (!holds || (!deal.chains.empty() && !isShort(count, left)))
		{
			break;
		}
		const auto end = left.begin() + static_cast<std::ptrdiff_t>(count);
		deal.chains.emplace_back(left.begin(), end);
		left.erase(left.begin(), end);
	}
	deal.doubles = left;
	if (1 == deal.chains.size())
	{
		moveToDoubles(_engine, _targets, _room, deal);
	}
	return deal;
}

double sharedRoom(double _room)
{
	return std::max(std::min(kLeastRoom, _room), _room / 2);
}

uint32_t doubledLayers(const EngineSpec& _engine, const std::vector<LayoutTarget>& _targets, const Members& _doubles,
                       double _room)
{
	return std::min(_engine.layers, layersThatFitAll(_engine, _targets, _doubles, sharedRoom(_room)));
}

void layInOrder(const EngineSpec& _engine, const std::vector<LayoutTarget>& _targets, const Members& _members,
                double _room, LayerSpan _span, std::vector<LayoutOrder>& _orders)
{
	layCounts(_members, shares(_engine, _targets, _members, _room, _span.size()), _span.begin, _orders);
}

void layChain(const EngineSpec& _engine, const std::vector<LayoutTarget>& _targets, const Members& _members,
              double _room, uint32_t _doubled, std::vector<LayoutOrder>& _orders)
{
	const Members sorted = smallestFirst(_engine, _targets, _members, _room);
	std::vector<uint32_t> counts = chainShares(_engine, _targets, sorted, _room, _doubled);
	uint32_t excess = std::accumulate(counts.begin(), counts.end(), 0U) - _engine.layers;
	trim(_targets, sorted, excess, counts);
	layCounts(sorted, counts, 0, _orders);
}

} // namespace sedgecart

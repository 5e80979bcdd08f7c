// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "layoutcapacity_p.h"

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

/// Capacity from which a hall gets its own chain without further checks, tokens: some 20 requests of usual size. Below
/// it, `servesBetterAlone` decides.
constexpr double kMinCapacity = 20000;

/// Maximum number of stages in a planned chain. Targets accept 32. A path around a lost stage needs some more stages
/// than its chain was planned with, and each hop adds half a millisecond to every token.
constexpr std::size_t kMaxPlannedStages = 20;

/// More capacity than any target has, tokens.
constexpr double kUnboundedCapacity = 1e8;

/// Steps of the binary search for the largest capacity. Each halves the interval, so that 40 leave well under a token.
constexpr int kSearchSteps = 40;

/// @returns the tokens of a usual request with its complete answer; 0 if the operator has not configured them.
double usualTokens(const EngineSpec& _engine)
{
	return 0 < _engine.usualPromptTokens ? _engine.usualPromptTokens + _engine.usualAnswerTokens : 0;
}

/// @returns the smallest useful capacity, tokens: that of one usual request, at most `kMinCapacity`.
double minCapacity(const EngineSpec& _engine)
{
	const double usual = usualTokens(_engine);
	return 0 < usual ? std::min(kMinCapacity, usual) : kMinCapacity;
}

/// @returns the largest capacity from `_min` to `_max` for which a monotonic test holds (if it holds for a capacity,
/// it holds for all smaller ones); below 0 if it does not hold for `_min`.
double searchCapacity(double _min, double _max, const std::function<bool(double)>& _fits)
{
	if (!_fits(_min))
	{
		return -1;
	}
	if (_fits(_max))
	{
		return _max;
	}
	double low = _min;
	double high = _max;
	for (int step = 0; step < kSearchSteps; ++step)
	{
		const double middle = (low + high) / 2;
		(_fits(middle) ? low : high) = middle;
	}
	return low;
}

/// @returns the members sorted by speed, fastest first, and by memory, largest first, if their speed is equal.
TargetIndices fastestFirst(const std::vector<LayoutTarget>& _targets, TargetIndices _members)
{
	std::stable_sort(_members.begin(), _members.end(),
	                 [&_targets](uint32_t _a, uint32_t _b)
	                 {
		                 const AcceleratorKind& a = _targets[_a].card;
		                 const AcceleratorKind& b = _targets[_b].card;
		                 const bool alike = a.stepFactor == b.stepFactor;
		                 return alike ? b.memoryMb < a.memoryMb : a.stepFactor < b.stepFactor;
	                 });
	return _members;
}

/// @returns how many members, from the first on, are needed to hold the whole model; their number plus one if all of
/// them together cannot.
std::size_t stagesNeeded(const EngineSpec& _engine, const std::vector<LayoutTarget>& _targets,
                         const TargetIndices& _members, double _capacity)
{
	uint32_t sum = 0;
	for (std::size_t count = 0; count < _members.size(); ++count)
	{
		sum += layersThatFit(_engine, _targets[_members[count]].card, _capacity);
		if (_engine.layers <= sum)
		{
			return count + 1;
		}
	}
	return _members.size() + 1;
}

bool isShortEnough(std::size_t _stages, const TargetIndices& _members)
{
	return _stages <= std::min(kMaxPlannedStages, _members.size());
}

/// Reduces the layer counts by `_excess` in total: those of the slowest members first, among equals the largest.
void removeExcess(const std::vector<LayoutTarget>& _targets, const TargetIndices& _members, uint32_t _excess,
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

/// @returns how many of `_layers` layers each member holds: what fits beside `_capacity` tokens of requests, without
/// the excess.
std::vector<uint32_t> layerShares(const EngineSpec& _engine, const std::vector<LayoutTarget>& _targets,
                                  const TargetIndices& _members, double _capacity, uint32_t _layers)
{
	std::vector<uint32_t> counts;
	uint32_t sum = 0;
	for (const uint32_t member : _members)
	{
		counts.push_back(std::min(_layers, layersThatFit(_engine, _targets[member].card, _capacity)));
		sum += counts.back();
	}
	removeExcess(_targets, _members, sum - std::min(sum, _layers), counts);
	return counts;
}

void appendOrders(const TargetIndices& _members, const std::vector<uint32_t>& _counts, uint32_t _begin,
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

/// @returns the members sorted by the number of layers that fit, fewest first.
TargetIndices smallestFirst(const EngineSpec& _engine, const std::vector<LayoutTarget>& _targets,
                            TargetIndices _members, double _capacity)
{
	std::stable_sort(_members.begin(), _members.end(),
	                 [&](uint32_t _a, uint32_t _b)
	                 {
		                 return layersThatFit(_engine, _targets[_a].card, _capacity) <
		                        layersThatFit(_engine, _targets[_b].card, _capacity);
	                 });
	return _members;
}

/// @returns how many layers each member of a chain can hold, in the order of the chain: more for layers that replicas
/// hold too.
std::vector<uint32_t> chainShares(const EngineSpec& _engine, const std::vector<LayoutTarget>& _targets,
                                  const TargetIndices& _sorted, double _capacity, uint32_t _replicated)
{
	std::vector<uint32_t> counts;
	uint32_t begin = 0;
	for (const uint32_t member : _sorted)
	{
		const uint32_t alone = layersThatFit(_engine, _targets[member].card, _capacity);
		const uint32_t shared = layersThatFit(_engine, _targets[member].card, replicaCapacity(_capacity));
		const uint32_t left = _replicated - std::min(_replicated, begin);
		counts.push_back(std::max(alone, std::min(shared, left)));
		begin += counts.back();
	}
	return counts;
}

/// @returns the duration of a usual request, in seconds, that runs alone on a chain of the members with this capacity.
double usualSeconds(const EngineSpec& _engine, const std::vector<LayoutTarget>& _targets, const TargetIndices& _members,
                    double _capacity)
{
	constexpr double kMillisPerSecond = 1000;
	double layers = 0;
	double steps = 0;
	double reads = 0;
	for (const uint32_t member : _members)
	{
		const AcceleratorKind& card = _targets[member].card;
		const double held = layersThatFit(_engine, card, _capacity);
		layers += held;
		steps += held * card.stepFactor;
		reads += held * card.prefillFactor;
	}
	const double answerSeconds = _engine.usualAnswerTokens * _engine.stepMs / kMillisPerSecond * steps / layers;
	const bool readsKnown = 0 < _engine.prefillTokensPerSecond;
	return answerSeconds +
	       (readsKnown ? _engine.usualPromptTokens / _engine.prefillTokensPerSecond * reads / layers : 0);
}

/// @returns true if a hall whose own chain would have little capacity serves more requests with it than with its share
/// of a chain across halls. A shared chain has much capacity, but each prompt crosses the link between halls, which all
/// of them share: above the link's throughput requests queue there while memory remains unused.
/// @param _capacity capacity of the hall's own chain, tokens.
/// @param _sharingHalls number of halls that would share a chain.
bool servesBetterAlone(const EngineSpec& _engine, const std::vector<LayoutTarget>& _targets, const TargetIndices& _hall,
                       double _capacity, std::size_t _sharingHalls)
{
	constexpr double kBitsPerMbit = 1e6;
	constexpr double kBitsPerByte = 8;
	if (_sharingHalls < 2)
	{
		return true;
	}
	const double seconds = usualSeconds(_engine, _targets, _hall, _capacity);
	const double bits = usualTokens(_engine) * _engine.hopBytesPerToken * kBitsPerByte;
	if (_engine.hallLinkMbps <= 0 || bits <= 0 || seconds <= 0)
	{
		return false;
	}
	const double meanTokens = _engine.usualPromptTokens + _engine.usualAnswerTokens / 2;
	const double alone = _capacity / meanTokens / seconds;
	const double shared = _engine.hallLinkMbps * kBitsPerMbit / bits / static_cast<double>(_sharingHalls);
	return shared <= alone;
}

/// Moves targets from a group's only chain to the replicas, the slowest first, as long as the remaining ones can hold
/// the whole model, given the capacity that the replicas contribute.
void moveToReplicas(const EngineSpec& _engine, const std::vector<LayoutTarget>& _targets, double _capacity,
                    GroupAssignment& _assignment)
{
	TargetIndices& chain = _assignment.chains.front();
	while (1 < chain.size())
	{
		TargetIndices fewer = chain;
		TargetIndices replicas = _assignment.replicas;
		replicas.insert(replicas.begin(), fewer.back());
		fewer.pop_back();
		const uint32_t replicated = replicatedLayers(_engine, _targets, replicas, _capacity);
		const TargetIndices sorted = smallestFirst(_engine, _targets, fewer, _capacity);
		const std::vector<uint32_t> counts = chainShares(_engine, _targets, sorted, _capacity, replicated);
		if (std::accumulate(counts.begin(), counts.end(), 0U) < _engine.layers)
		{
			return;
		}
		chain = fewer;
		_assignment.replicas = replicas;
	}
}

} // namespace

double kvMbPerTokenLayer(const EngineSpec& _engine)
{
	constexpr double kBytesPerMb = 1e6;
	return _engine.kvBytesPerToken / _engine.layers / kBytesPerMb;
}

uint32_t layersThatFit(const EngineSpec& _engine, const AcceleratorKind& _card, double _roomTokens)
{
	const double perLayer = _engine.layerMb + _roomTokens * kvMbPerTokenLayer(_engine);
	const double most = std::floor(_card.memoryMb / perLayer);
	return std::min(_engine.layers, static_cast<uint32_t>(std::max(0.0, most)));
}

double capacityFor(const EngineSpec& _engine, const AcceleratorKind& _card, uint32_t _layers)
{
	if (0 == _layers)
	{
		return std::numeric_limits<double>::infinity();
	}
	return (_card.memoryMb / _layers - _engine.layerMb) / kvMbPerTokenLayer(_engine);
}

uint32_t totalLayersThatFit(const EngineSpec& _engine, const std::vector<LayoutTarget>& _targets,
                            const TargetIndices& _members, double _capacity)
{
	uint32_t sum = 0;
	for (const uint32_t member : _members)
	{
		sum += layersThatFit(_engine, _targets[member].card, _capacity);
	}
	return sum;
}

double maxCapacity(const EngineSpec& _engine, const std::vector<LayoutTarget>& _targets, const TargetIndices& _members,
                   uint32_t _layers)
{
	return searchCapacity(minCapacity(_engine), kUnboundedCapacity,
	                      [&](double _capacity)
	                      {
		                      return _layers <= totalLayersThatFit(_engine, _targets, _members, _capacity);
	                      });
}

std::vector<TargetIndices> chainGroups(const EngineSpec& _engine, const std::vector<LayoutTarget>& _targets,
                                       const LayoutPolicy& _policy)
{
	std::map<uint32_t, TargetIndices> halls;
	for (uint32_t index = 0; index < _targets.size(); ++index)
	{
		halls[_targets[index].hall].push_back(index);
	}
	std::map<uint32_t, double> capacities;
	std::size_t tightHalls = 0;
	for (const auto& row : halls)
	{
		capacities[row.first] = maxCapacity(_engine, _targets, row.second, _engine.layers);
		tightHalls += capacities[row.first] < kMinCapacity ? 1 : 0;
	}
	std::vector<TargetIndices> groups;
	TargetIndices sharing;
	for (const auto& row : halls)
	{
		const double capacity = capacities[row.first];
		const bool alone =
		    kMinCapacity <= capacity || (0 <= capacity && _policy.keepTightChains &&
		                                 servesBetterAlone(_engine, _targets, row.second, capacity, tightHalls));
		if (alone)
		{
			groups.push_back(row.second);
			continue;
		}
		sharing.insert(sharing.end(), row.second.begin(), row.second.end());
	}
	if (!sharing.empty())
	{
		groups.push_back(sharing);
	}
	return groups;
}

double plannedCapacity(const EngineSpec& _engine, const std::vector<LayoutTarget>& _targets,
                       const TargetIndices& _group, const LayoutPolicy& _policy)
{
	const bool isConfigured = 0 < _engine.capacityTokens && 0 < _policy.capacityShare;
	const double requested =
	    isConfigured ? std::max(kMinCapacity, _engine.capacityTokens * _policy.capacityShare) : kUnboundedCapacity;
	const TargetIndices members = fastestFirst(_targets, _group);
	const double capacity =
	    searchCapacity(kMinCapacity, requested,
	                   [&](double _capacity)
	                   {
		                   return isShortEnough(stagesNeeded(_engine, _targets, members, _capacity), members);
	                   });
	// A group of many small targets only has chains that exceed the planned number of stages.
	return capacity < 0 ? maxCapacity(_engine, _targets, _group, _engine.layers) : capacity;
}

GroupAssignment assignGroup(const EngineSpec& _engine, const std::vector<LayoutTarget>& _targets,
                            const TargetIndices& _group, double _capacity)
{
	GroupAssignment assignment;
	TargetIndices left = fastestFirst(_targets, _group);
	while (!left.empty())
	{
		const std::size_t count = stagesNeeded(_engine, _targets, left, _capacity);
		const bool holds = count <= left.size();
		if (!holds || (!assignment.chains.empty() && !isShortEnough(count, left)))
		{
			break;
		}
		const auto end = left.begin() + static_cast<std::ptrdiff_t>(count);
		assignment.chains.emplace_back(left.begin(), end);
		left.erase(left.begin(), end);
	}
	assignment.replicas = left;
	if (1 == assignment.chains.size())
	{
		moveToReplicas(_engine, _targets, _capacity, assignment);
	}
	return assignment;
}

double replicaCapacity(double _capacity)
{
	return std::max(std::min(kMinCapacity, _capacity), _capacity / 2);
}

uint32_t replicatedLayers(const EngineSpec& _engine, const std::vector<LayoutTarget>& _targets,
                          const TargetIndices& _replicas, double _capacity)
{
	return std::min(_engine.layers, totalLayersThatFit(_engine, _targets, _replicas, replicaCapacity(_capacity)));
}

void assignSpan(const EngineSpec& _engine, const std::vector<LayoutTarget>& _targets, const TargetIndices& _members,
                double _capacity, LayerSpan _span, std::vector<LayoutOrder>& _orders)
{
	appendOrders(_members, layerShares(_engine, _targets, _members, _capacity, _span.size()), _span.begin, _orders);
}

void assignChain(const EngineSpec& _engine, const std::vector<LayoutTarget>& _targets, const TargetIndices& _members,
                 double _capacity, uint32_t _replicated, std::vector<LayoutOrder>& _orders)
{
	const TargetIndices sorted = smallestFirst(_engine, _targets, _members, _capacity);
	std::vector<uint32_t> counts = chainShares(_engine, _targets, sorted, _capacity, _replicated);
	uint32_t excess = std::accumulate(counts.begin(), counts.end(), 0U) - _engine.layers;
	removeExcess(_targets, sorted, excess, counts);
	appendOrders(sorted, counts, 0, _orders);
}

} // namespace sedgecart

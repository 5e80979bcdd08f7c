// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <leases/hallcapacity.h>

#include <algorithm>

namespace sedgecart
{

namespace
{

/// @returns tokens that a target can take when it has a load.
double roomOf(const HallTarget& _target, double _loadTokens, uint32_t _requests, double _usualTokens)
{
	const double room = std::max(0.0, kMaxLeasedUtilization * _target.capacityTokens - _loadTokens);
	const bool slotsCount = 0 == _target.begin && 0 < _target.slots && 0 < _usualTokens;
	const uint32_t slots = _target.slots - std::min(_target.slots, _requests);
	return slotsCount ? std::min(room, slots * _usualTokens) : room;
}

} // namespace

HallCapacity hallCapacity(const std::vector<HallTarget>& _targets, uint32_t _layers, double _usualTokens)
{
	std::vector<double> tokens(_layers, 0);
	std::vector<double> free(_layers, 0);
	for (const HallTarget& target : _targets)
	{
		for (uint32_t layer = target.begin; layer < std::min(target.end, _layers); ++layer)
		{
			tokens[layer] += roomOf(target, 0, 0, _usualTokens);
			free[layer] += roomOf(target, target.loadTokens, target.requests, _usualTokens);
		}
	}
	HallCapacity capacity;
	if (0 < _layers)
	{
		capacity.tokens = static_cast<uint64_t>(*std::min_element(tokens.begin(), tokens.end()));
		capacity.free = static_cast<uint64_t>(*std::min_element(free.begin(), free.end()));
	}
	return capacity;
}

} // namespace sedgecart

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <core/layerlosses.h>

#include <algorithm>

namespace sedgecart
{

namespace
{

/// @returns the ranges of a model's layers that no span covers.
std::vector<LayerSpan> missingLayers(uint32_t _layers, std::vector<LayerSpan> _held)
{
	std::sort(_held.begin(), _held.end(),
	          [](LayerSpan _a, LayerSpan _b)
	          {
		          return _a.begin < _b.begin;
	          });
	std::vector<LayerSpan> missing;
	uint32_t next = 0;
	for (const LayerSpan span : _held)
	{
		const uint32_t begin = std::min(span.begin, _layers);
		if (next < begin)
		{
			missing.push_back(LayerSpan{next, begin});
		}
		next = std::max(next, 0 < span.size() ? span.end : begin);
	}
	if (next < _layers)
	{
		missing.push_back(LayerSpan{next, _layers});
	}
	return missing;
}

} // namespace

std::vector<LayerLossUpdate> LayerLosses::update(uint32_t _layers, const Holdings& _holdings, Time _now)
{
	std::vector<LayerLossUpdate> updates;
	for (const auto& hall : _holdings)
	{
		const std::vector<LayerSpan> missing = missingLayers(_layers, hall.second);
		if (missing.empty() || 0 < halls_.count(hall.first))
		{
			updateHall(hall.first, missing, _now, updates);
		}
	}
	for (const auto& hall : halls_)
	{
		if (0 == _holdings.count(hall.first))
		{
			updateHall(hall.first, {LayerSpan{0, _layers}}, _now, updates);
		}
	}
	return updates;
}

void LayerLosses::updateHall(const std::string& _hall, const std::vector<LayerSpan>& _missing, Time _now,
                             std::vector<LayerLossUpdate>& _updates)
{
	Hall& hall = halls_[_hall];
	if (hall.isLost != _missing.empty())
	{
		return; // no change since the last call
	}
	if (hall.isLost)
	{
		_updates.push_back(LayerLossUpdate{_hall, hall.layers, _now - hall.since, true});
		hall = Hall{};
		return;
	}
	hall = Hall{true, _now, _missing};
	_updates.push_back(LayerLossUpdate{_hall, _missing, Duration{}, false});
}

} // namespace sedgecart

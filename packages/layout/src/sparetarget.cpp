// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "sparetarget_p.h"

#include <core/layoutplan.h>

#include <algorithm>

namespace sedgecart
{

bool isSpare(const std::vector<LayoutTarget>& _targets, std::size_t _target)
{
	const LayoutTarget& target = _targets[_target];
	std::vector<bool> held(target.held.size(), false);
	for (std::size_t index = 0; index < _targets.size(); ++index)
	{
		const LayoutTarget& other = _targets[index];
		const uint32_t end = std::min(other.held.end, target.held.end);
		const bool counts = index != _target && other.hall == target.hall;
		for (uint32_t layer = std::max(other.held.begin, target.held.begin); counts && layer < end; ++layer)
		{
			held[layer - target.held.begin] = true;
		}
	}
	return std::all_of(held.begin(), held.end(),
	                   [](bool _isHeld)
	                   {
		                   return _isHeld;
	                   });
}

} // namespace sedgecart

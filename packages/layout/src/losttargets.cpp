// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "losttargets_p.h"

#include <fleet/fleetcontroller.h>

#include <iterator>
#include <map>

namespace sedgecart
{

namespace
{

/// Minimum ratio of the targets of a hall to those that seem dead. Below it the hall is considered cut off from this
/// node: a rack that fails is only about an eighth of a hall.
constexpr uint32_t kMinTargetsPerDead = 5;

/// Numbers of targets of a hall.
struct HallCount
{
	uint32_t targets = 0; //!< Targets that hold layers.
	uint32_t dead = 0;    //!< Targets that nodes report as dead.
};

} // namespace

std::set<std::string> lostTargets(const FleetController& _fleet, Time _now)
{
	std::set<std::string> lost;
	std::map<std::string, HallCount> halls;
	for (const auto& row : _fleet.runners())
	{
		const auto load = _fleet.loads().find(row.first);
		const bool dead = _fleet.loads().end() != load && load->second->isDead(_now);
		HallCount& hall = halls[row.second.hall];
		hall.targets += 0 < row.second.layers.size() ? 1 : 0;
		hall.dead += dead ? 1 : 0;
		if (dead)
		{
			lost.insert(row.first);
		}
	}
	for (auto row = lost.begin(); lost.end() != row;)
	{
		const HallCount& hall = halls[_fleet.runners().at(*row).hall];
		row = hall.targets < kMinTargetsPerDead * hall.dead ? lost.erase(row) : std::next(row);
	}
	return lost;
}

} // namespace sedgecart

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <hall/hallnodes.h>

#include <fleet/fleetcontroller.h>

#include <algorithm>
#include <set>

namespace sedgecart
{

namespace
{

/// Number of nodes of another hall that receive this hall's sums while the hub of that hall is unknown.
constexpr std::size_t kLikelyHubs = 2;

/// Number of nodes that pass the registry on: with a thousand nodes, each sends a hundred copies of some 30 kB.
constexpr std::size_t kRegistrySources = 10;

} // namespace

std::vector<HubCandidate> HallNodes::candidates(const std::string& _hall) const
{
	std::vector<HubCandidate> candidates;
	for (const auto& row : fleet_.nodes())
	{
		if (_hall == row.second.hall)
		{
			candidates.push_back(HubCandidate{row.first, row.second.cpuShare});
		}
	}
	return candidates;
}

std::string HallNodes::addressOf(const std::string& _node) const
{
	const auto node = fleet_.nodes().find(_node);
	return fleet_.nodes().end() == node ? std::string() : node->second.address;
}

std::vector<std::string> HallNodes::hubsOfOtherHalls(const std::string& _hall,
                                                     const std::vector<std::string>& _senders) const
{
	std::vector<std::string> hubs;
	std::set<std::string> halls{_hall};
	for (const std::string& hub : _senders)
	{
		const auto node = fleet_.nodes().find(hub);
		if (fleet_.nodes().end() != node)
		{
			hubs.push_back(hub);
			halls.insert(node->second.hall);
		}
	}
	for (const auto& row : fleet_.nodes())
	{
		if (!halls.insert(row.second.hall).second)
		{
			continue;
		}
		const std::vector<std::string> likely = likelyHubs(row.second.hall);
		hubs.insert(hubs.end(), likely.begin(), likely.end());
	}
	return hubs;
}

std::vector<std::string> HallNodes::registrySources() const
{
	std::vector<HubCandidate> nodes;
	for (const auto& row : fleet_.nodes())
	{
		nodes.push_back(HubCandidate{row.first, row.second.cpuShare});
	}
	sortHubCandidates(nodes);
	std::vector<std::string> names;
	for (std::size_t index = 0; index < std::min(kRegistrySources, nodes.size()); ++index)
	{
		names.push_back(nodes[index].name);
	}
	return names;
}

std::vector<std::string> HallNodes::likelyHubs(const std::string& _hall) const
{
	std::vector<HubCandidate> nodes = candidates(_hall);
	sortHubCandidates(nodes);
	std::vector<std::string> names;
	for (std::size_t index = 0; index < std::min(kLikelyHubs, nodes.size()); ++index)
	{
		names.push_back(nodes[index].name);
	}
	return names;
}

} // namespace sedgecart

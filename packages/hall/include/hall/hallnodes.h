// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_HALL_HALLNODES_H_HEADER_GUARD
#define SEDGECART_HALL_HALLNODES_H_HEADER_GUARD

#include <core/hubselector.h>

#include <string>
#include <vector>

namespace sedgecart
{

class FleetController;

/// Queries the registry of nodes by data hall. Control thread only.
class HallNodes
{
public:
	explicit HallNodes(const FleetController& _fleet) : fleet_(_fleet)
	{
	}

	/// @returns the nodes of a hall that may be its hub, in any order.
	std::vector<HubCandidate> candidates(const std::string& _hall) const;

	/// @returns the address where a node listens for other nodes; empty if it has left the registry.
	std::string addressOf(const std::string& _node) const;

	/// @param _senders nodes that sent the sum of their hall recently.
	/// @returns those of them that are still registered and, for each other hall without one, the nodes that are most
	/// likely its hub.
	std::vector<std::string> hubsOfOtherHalls(const std::string& _hall, const std::vector<std::string>& _senders) const;

	/// @returns the nodes that load the whole registry from the store when a large fleet starts and pass it on to the
	/// others: the strongest of those that are known.
	std::vector<std::string> registrySources() const;

private:
	std::vector<std::string> likelyHubs(const std::string& _hall) const;

	const FleetController& fleet_;
};

} // namespace sedgecart

#endif // SEDGECART_HALL_HALLNODES_H_HEADER_GUARD

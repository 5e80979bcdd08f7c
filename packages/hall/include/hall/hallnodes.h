// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_HALL_HALLNODES_H_HEADER_GUARD
#define SEDGECART_HALL_HALLNODES_H_HEADER_GUARD

#include <core/hubchoice.h>

#include <string>
#include <vector>

namespace sedgecart
{

class FleetController;

/// The registry of nodes, asked by data hall. Control thread only.
class HallNodes
{
public:
	explicit HallNodes(const FleetController& _fleet) : fleet_(_fleet)
	{
	}

	/// @returns the nodes of a hall that may be its hub, in any order.
	std::vector<HubCandidate> candidates(const std::string& _hall) const;

	/// @returns where a node listens for others; empty if it has left the registry.
	std::string addressOf(const std::string& _node) const;

	/// @param _heard nodes that told the sum of their hall lately.
	/// @returns those of them that are still there, and of each other hall without one the nodes that are most likely
	/// its hub.
	std::vector<std::string> hubsOutside(const std::string& _hall, const std::vector<std::string>& _heard) const;

private:
	std::vector<std::string> firstNodes(const std::string& _hall) const;

	const FleetController& fleet_;
};

} // namespace sedgecart

#endif // SEDGECART_HALL_HALLNODES_H_HEADER_GUARD

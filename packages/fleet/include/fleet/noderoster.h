// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_FLEET_NODEROSTER_H_HEADER_GUARD
#define SEDGECART_FLEET_NODEROSTER_H_HEADER_GUARD

#include <base/targetincarnation.h>
#include <core/rategate.h>

#include <string>
#include <vector>

namespace sedgecart
{

/// The entry nodes and their data halls, from the registry of nodes. Immutable.
class NodeRoster
{
public:
	/// An entry node.
	struct Node
	{
		std::string name;
		std::string hall;
	};

	explicit NodeRoster(std::vector<Node> _nodes) : nodes_(std::move(_nodes))
	{
	}

	/// @param _node name of a node; ranks behind all others if it is not in the roster.
	/// @returns its rank among the nodes that may send to a target. Each target has its own order, which is the same on
	/// all nodes with the same roster.
	SenderOrder orderFor(const std::string& _node, const TargetIncarnation& _target, const std::string& _hall) const;

private:
	std::vector<Node> nodes_;
};

} // namespace sedgecart

#endif // SEDGECART_FLEET_NODEROSTER_H_HEADER_GUARD

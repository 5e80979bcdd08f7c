// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_CORE_CONNECTIONSHARE_H_HEADER_GUARD
#define SEDGECART_CORE_CONNECTIONSHARE_H_HEADER_GUARD

#include <cstdint>

namespace sedgecart
{

/// Connections to one target that are in use, as its nodes report them.
struct ConnectionUse
{
	uint32_t own = 0;         //!< Of this node, now.
	uint32_t ownReported = 0; //!< Of this node, when `others` was reported.
	uint32_t others = 0;      //!< Of the other nodes together, by their last reports.
};

/// Decides whether a node may have one more connection to a target that accepts a limited number from all nodes
/// together. Half of the limit is divided equally among the nodes, so that each can always serve some callers. The rest
/// is free for nodes that have more callers than others, by what is in use according to the reports: an equal part of
/// the whole limit made a node with most of the callers refuse them while the parts of the others were not used.
///
/// A node may keep its guaranteed connections open while they are idle, so that they count as in use. Pure.
class ConnectionShare
{
public:
	/// @param _limit connections that the target accepts from all nodes together; 0: no limit.
	/// @param _nodes nodes that send to the target, this one included.
	ConnectionShare(uint32_t _limit, uint32_t _nodes);

	/// @param _draw uniform from 0 to 1; must stay the same between two reports (see `LoadShare`).
	/// @returns true if the node may have one more connection.
	bool admits(const ConnectionUse& _use, double _draw) const;

	/// @returns the connections that each node may always have, in use or idle; at least 1.
	uint32_t guaranteed() const
	{
		return guaranteed_;
	}

private:
	double freeConnections(const ConnectionUse& _use) const;

	uint32_t limit_;
	uint32_t nodes_;
	uint32_t guaranteed_;
};

} // namespace sedgecart

#endif // SEDGECART_CORE_CONNECTIONSHARE_H_HEADER_GUARD

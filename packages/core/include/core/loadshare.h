// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_CORE_LOADSHARE_H_HEADER_GUARD
#define SEDGECART_CORE_LOADSHARE_H_HEADER_GUARD

#include <cstdint>

namespace sedgecart
{

/// Bounds the load that a node adds to a target until the next reports, so that the nodes of a hall together do not add
/// more than the target has free. Addresses bursts at which every node prefers the same fast target, each by a report
/// that is older than the requests of the others: the target was filled to its last token and refused most arrivals
/// while slower ones had capacity.
///
/// A share that is smaller than a request is rounded at random: each node may then add one request with the probability
/// that keeps the expected sum at the free capacity. Pure.
class LoadShare
{
public:
	/// @param _nodes nodes that choose among the same targets by the same reports, this one included.
	explicit LoadShare(uint32_t _nodes) : nodes_(0 == _nodes ? 1 : _nodes)
	{
	}

	/// @param _free capacity of the target that is free by the last reports; zero or less if it is full.
	/// @param _added load that this node has added since its last report; below 0 if more of its load has ended.
	/// @param _needed load of the request, above 0.
	/// @param _draw uniform from 0 to 1. Must stay the same between two reports, or a node that tries again and again
	/// gets the request through in the end.
	/// @returns true if the request may be added.
	bool admits(double _free, double _added, double _needed, double _draw) const;

private:
	uint32_t nodes_;
};

} // namespace sedgecart

#endif // SEDGECART_CORE_LOADSHARE_H_HEADER_GUARD

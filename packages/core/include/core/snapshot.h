// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_CORE_SNAPSHOT_H_HEADER_GUARD
#define SEDGECART_CORE_SNAPSHOT_H_HEADER_GUARD

#include <base/customerspec.h>
#include <base/handle.h>
#include <base/routespec.h>
#include <base/targetspec.h>
#include <base/units.h>

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace sedgecart
{

/// A target as the request path sees it.
struct TargetView
{
	TargetHandle handle;
	TargetSpec spec;
	HallHandle hall;
	bool usable = false; //!< Not draining, and not leaving according to the VM list or a peer.
};

/// Targets that hold the same range of a route's layers.
struct StageGroup
{
	LayerRange layers;
	std::vector<uint32_t> all;   //!< Usable targets, indices into Snapshot::targets.
	std::vector<uint32_t> local; //!< Those in this node's hall.
};

/// Stage groups that together cover every layer once, in order. Indices into RouteView::groups.
struct Cover
{
	std::vector<uint32_t> groups;
};

/// A route as the request path sees it.
struct RouteView
{
	RouteHandle handle;
	RouteSpec spec;
	bool held = false; //!< This node's side holds it, or has released it and serves it until it is taken.
	std::vector<StageGroup> groups;
	std::vector<Cover> covers;
};

/// A customer as the request path sees it.
struct CustomerView
{
	CustomerHandle handle;
	CustomerSpec spec;
};

/// State that the request path reads; immutable once it is published.
struct Snapshot
{
	uint64_t version = 0; //!< Increases by one with each snapshot of this process.
	Offset configNext;    //!< First offset of the config stream that is not included.
	HallHandle ownHall;
	uint32_t liveNodes = 1; //!< Nodes that share the targets, this one included.
	std::vector<TargetView> targets;
	std::unordered_map<std::string, RouteView> routes;       //!< By name.
	std::unordered_map<std::string, CustomerView> customers; //!< By key digest.
	std::vector<std::string> halls;                          //!< By handle.
	std::vector<Duration> latency;                           //!< One-way latency, a matrix of halls by halls.

	/// @returns the one-way latency between two halls; a default if none is configured.
	Duration latencyBetween(HallHandle _from, HallHandle _to) const
	{
		return latency[_from.index * halls.size() + _to.index];
	}
};

} // namespace sedgecart

#endif // SEDGECART_CORE_SNAPSHOT_H_HEADER_GUARD

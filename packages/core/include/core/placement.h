// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_CORE_PLACEMENT_H_HEADER_GUARD
#define SEDGECART_CORE_PLACEMENT_H_HEADER_GUARD

#include <base/units.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace sedgecart
{

class TargetBoard;
struct RouteView;
struct Snapshot;
struct TargetView;

/// Which targets may be assigned other layers.
struct PlacementPolicy
{
	enum Enum
	{
		Off,    //!< None.
		Spares, //!< Those that are configured as spare.
		All,    //!< Spares first, then targets of a range that has surplus copies.

		Count
	};
};

/// @returns "off" and so on.
const char* nameOf(PlacementPolicy::Enum _policy);

/// A decision to assign other layers to a target.
struct Placement
{
	std::string route;
	std::string target;
	LayerRange layers;
	/// The route's last placement. If two nodes react to the same loss, only one change applies.
	uint64_t lastPlacement = 0;
};

/// Detects layer ranges that have lost their last copy, and selects a target to load them. Limits loading to one target
/// at a time for each route and few in total, since weights come from a rate-limited store. Does no I/O.
/// @remarks A node with fresh reports from less than half of all targets places nothing, since it is probably
/// partitioned itself.
class PlacementMonitor
{
public:
	explicit PlacementMonitor(PlacementPolicy::Enum _policy);

	/// @returns a placement that is needed now, if any.
	std::optional<Placement> check(const Snapshot& _snapshot, const TargetBoard& _board, Time _now);

private:
	/// A target that was assigned layers and does not hold them yet.
	struct Loading
	{
		uint64_t fence = 0;
		Time since;
	};

	void updateLoading(const Snapshot& _snapshot, const TargetBoard& _board, Time _now);
	bool mayStillLoad(const TargetView& _target, Time _now) const;
	std::optional<LayerRange> missingRange(const Snapshot& _snapshot, const RouteView& _route,
	                                       const TargetBoard& _board, Time _now) const;
	std::optional<Placement> choosePlacement(const Snapshot& _snapshot, const RouteView& _route,
	                                         const TargetBoard& _board, LayerRange _missing, Time _now) const;

	PlacementPolicy::Enum policy_;
	std::map<std::string, Time> lostSince_;  //!< By route.
	std::map<std::string, Loading> loading_; //!< By target.
};

} // namespace sedgecart

#endif // SEDGECART_CORE_PLACEMENT_H_HEADER_GUARD

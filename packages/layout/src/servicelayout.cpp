// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <layout/servicelayout.h>

#include <layout/layoutsnapshot.h>

namespace sedgecart
{

namespace
{

/// The first layout is planned once no target has arrived or left for this long, since targets appear within some
/// seconds of each other.
constexpr Duration kFleetSettleTime = Duration::fromMillis(1600);

/// Delay before borders between ranges are shifted to cover missing layers: an empty target, such as one that restarts,
/// can take the range within this time without moving the layers of others.
constexpr Duration kBorderShiftDelay = Duration::fromMillis(900);

/// Delay after a target arrives or leaves before an empty target that no range needs is given a replica, so that a
/// target that is being replaced can leave first. Loading costs little, while a longer delay, such as 4 s, withholds
/// the target's capacity from its hall and lowers the value of what is served when targets fail.
constexpr Duration kReplicaDelay = Duration::fromMillis(800);

} // namespace

ServiceLayout::ServiceLayout(const std::string& _service) : lossReporter_(_service)
{
}

void ServiceLayout::reportLosses(const LayoutSnapshot& _snapshot, Time _now)
{
	lossReporter_.update(nullptr != _snapshot.engine ? _snapshot.engine->layers : 0, _snapshot.records, _now);
}

std::vector<LayoutOrder> ServiceLayout::wantedOrders(const LayoutSnapshot& _snapshot, const LayoutPolicy& _policy,
                                                     Time _changedAt, Time _now)
{
	if (nullptr == _snapshot.engine)
	{
		return {};
	}
	if (!_snapshot.anyHeld)
	{
		const bool settled = !(_now < _changedAt + kFleetSettleTime);
		return settled ? planLayout(*_snapshot.engine, _snapshot.targets, _policy) : std::vector<LayoutOrder>();
	}
	RepairScope scope;
	scope.mayShiftBorders = 0 != holeSince_.micros && !(_now < holeSince_ + kBorderShiftDelay);
	scope.mayAddReplicas = !(_now < _changedAt + kReplicaDelay);
	std::vector<LayoutOrder> orders = repairLayout(*_snapshot.engine, _snapshot.targets, _policy, scope);
	updateHole(_snapshot, _policy, orders.empty() && !scope.mayShiftBorders, _now);
	return orders;
}

/// Records since when only a shift of borders could repair the layout.
/// @param _isUnrepaired whether planning without a shift found no change.
void ServiceLayout::updateHole(const LayoutSnapshot& _snapshot, const LayoutPolicy& _policy, bool _isUnrepaired,
                               Time _now)
{
	RepairScope shifting;
	shifting.mayShiftBorders = true;
	const bool hasHole =
	    _isUnrepaired && !repairLayout(*_snapshot.engine, _snapshot.targets, _policy, shifting).empty();
	if (!hasHole)
	{
		holeSince_ = Time{};
	}
	else if (0 == holeSince_.micros)
	{
		holeSince_ = _now;
	}
}

} // namespace sedgecart

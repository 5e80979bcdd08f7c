// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <fleet/fleetview.h>
#include <relay/targetratelimiter.h>

namespace sedgecart
{

namespace
{

/// Bound on the stored targets; more than the targets that advertise a limit at the same time.
constexpr std::size_t kMaxRows = 1000;

} // namespace

Time TargetRateLimiter::opensAt(const FleetTarget& _target, const std::shared_ptr<const NodeRoster>& _roster, Time _now)
{
	const AdvertisedRate advertised = _target.load->rate();
	if (!advertised.limit || !_roster)
	{
		return _now;
	}
	const TargetIncarnation incarnation = _target.record.incarnation();
	if (kMaxRows <= rows_.size() && 0 == rows_.count(incarnation))
	{
		rows_.clear(); // mostly targets that have gone; the others get one request early
	}
	Row& row = rows_.try_emplace(incarnation, start_).first->second;
	if (row.roster != _roster)
	{
		row.roster = _roster;
		row.order = _roster->orderFor(self_, incarnation, _target.record.hall);
	}
	return row.gate.nextSendAt(advertised, row.order, _now);
}

void TargetRateLimiter::onSent(const FleetTarget& _target, Time _now)
{
	const auto row = rows_.find(_target.record.incarnation());
	if (rows_.end() == row)
	{
		return;
	}
	if (_target.load->rate().limit)
	{
		row->second.gate.onSent(_now);
	}
	else
	{
		rows_.erase(row);
	}
}

} // namespace sedgecart

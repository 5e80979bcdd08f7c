// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <fleet/fleetview.h>
#include <relay/rateledger.h>

namespace sedgecart
{

namespace
{

/// More than the targets that name a limit at one time.
constexpr std::size_t kMostRows = 1000;

} // namespace

Time RateLedger::opensAt(const FleetTarget& _target, const std::shared_ptr<const NodeRoster>& _roster, Time _now)
{
	const AdvertisedRate word = _target.load->rate();
	if (!word.limit || !_roster)
	{
		return _now;
	}
	const TargetLife life = _target.record.life();
	if (kMostRows <= rows_.size() && 0 == rows_.count(life))
	{
		rows_.clear(); // mostly targets that are gone; the others are sent one request early
	}
	Row& row = rows_[life];
	if (row.roster != _roster)
	{
		row.roster = _roster;
		row.order = _roster->orderFor(self_, life, _target.record.hall);
	}
	return row.gate.opensAt(word, row.order, _now);
}

void RateLedger::onSent(const FleetTarget& _target, Time _now)
{
	const auto row = rows_.find(_target.record.life());
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

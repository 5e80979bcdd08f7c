// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <core/targetreachability.h>

#include <algorithm>
#include <iterator>

namespace sedgecart
{

namespace
{

void dropBefore(std::map<TargetIncarnation, Time>& _attempts, Time _limit)
{
	for (auto row = _attempts.begin(); _attempts.end() != row;)
	{
		row = row->second < _limit ? _attempts.erase(row) : std::next(row);
	}
}

} // namespace

std::size_t TargetReachability::needed() const
{
	return std::max<std::size_t>(1, std::min(kMinTargets, fleetSize_));
}

void TargetReachability::dropExpired(Time _now)
{
	const Time limit{_now.micros - kEvidencePeriod.micros};
	dropBefore(unreachable_, limit);
	dropBefore(connected_, limit);
}

bool TargetReachability::onConnected(const TargetIncarnation& _target, Time _now)
{
	dropExpired(_now);
	if (!isCutOff_)
	{
		unreachable_.clear();
		return false;
	}
	connected_[_target] = _now;
	if (connected_.size() < needed())
	{
		return false;
	}
	isCutOff_ = false;
	unreachable_.clear();
	connected_.clear();
	return true;
}

bool TargetReachability::onUnreachable(const TargetIncarnation& _target, Time _now)
{
	dropExpired(_now);
	connected_.erase(_target);
	unreachable_[_target] = _now;
	if (isCutOff_)
	{
		return false;
	}
	isCutOff_ = needed() <= unreachable_.size();
	return isCutOff_;
}

} // namespace sedgecart

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <core/appendschedule.h>

#include <algorithm>

namespace sedgecart
{

namespace
{

/// @returns the turn of a place: 0 for the first place, 1 for the second, 2 for the next two, 3 for the next four, and
/// so on.
int64_t turnOf(std::size_t _place)
{
	int64_t turn = 0;
	for (; 0 < _place; _place /= 2)
	{
		++turn;
	}
	return turn;
}

} // namespace

void AppendSchedule::setWanted(bool _wanted, Time _now)
{
	if (!_wanted)
	{
		wantedAt_ = Time{};
	}
	else if (0 == wantedAt_.micros)
	{
		wantedAt_ = _now;
	}
}

void AppendSchedule::setContenders(std::size_t _place, std::size_t _nodes)
{
	place_ = _place;
	nodes_ = std::max<std::size_t>(1, _nodes);
}

void AppendSchedule::onOutcome(bool _decided, Time _now)
{
	wantedAt_ = _now;
	const std::size_t precedingNodes =
	    undecided_ ? nodes_ : place_ + 1; // the first backoff staggers the nodes by place
	undecided_ = !_decided;
	if (_decided)
	{
		backoff_ = kFirstBackoff;
		return;
	}
	const Duration fleetBackoff{kFleetBackoff.micros * static_cast<int64_t>(precedingNodes)};
	notBefore_ = _now + std::max(backoff_, fleetBackoff);
	backoff_ = std::min(kMaxBackoff, backoff_ + backoff_);
}

Duration AppendSchedule::checkInterval(std::size_t _place) const
{
	const bool wanted = 0 != wantedAt_.micros;
	return wanted || _place < kFrequentCheckers
	           ? Duration{}
	           : Duration{kCheckStep.micros * static_cast<int64_t>(_place) / static_cast<int64_t>(kFrequentCheckers)};
}

bool AppendSchedule::isDue(std::size_t _place, Time _now) const
{
	const bool wanted = 0 != wantedAt_.micros;
	return wanted && !(_now < notBefore_) && !(_now < wantedAt_ + Duration{kTurnInterval.micros * turnOf(_place)});
}

} // namespace sedgecart

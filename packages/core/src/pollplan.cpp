// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <core/pollplan.h>

#include <algorithm>

namespace sedgecart
{

namespace
{

/// A target that is due for a poll.
struct Due
{
	std::string name;
	Time since;
};

} // namespace

PollPlan::PollPlan(Duration _round, std::size_t _steps) : round_(_round), steps_(_steps)
{
}

std::vector<std::string> PollPlan::takeDue(const std::vector<PollTarget>& _targets, Time _now)
{
	dropRemoved(_targets);
	std::vector<Due> due;
	for (const PollTarget& target : _targets)
	{
		const Duration interval{round_.micros * (target.active ? 1 : idleRounds_)};
		const auto polled = polledAt_.find(target.name);
		const Time since = polledAt_.end() == polled ? Time{} : polled->second + interval;
		if (!(_now < since))
		{
			due.push_back(Due{target.name, since});
		}
	}
	std::stable_sort(due.begin(), due.end(),
	                 [](const Due& _a, const Due& _b)
	                 {
		                 return _a.since < _b.since;
	                 });
	const std::size_t maxPolls = (_targets.size() + steps_ - 1) / steps_;
	std::vector<std::string> names;
	for (const Due& target : due)
	{
		if (names.size() < maxPolls)
		{
			names.push_back(target.name);
			polledAt_[target.name] = _now;
		}
	}
	return names;
}

void PollPlan::dropRemoved(const std::vector<PollTarget>& _targets)
{
	std::map<std::string, Time> present;
	for (const PollTarget& target : _targets)
	{
		const auto polled = polledAt_.find(target.name);
		if (polledAt_.end() != polled)
		{
			present.insert(*polled);
		}
	}
	polledAt_ = std::move(present);
}

} // namespace sedgecart

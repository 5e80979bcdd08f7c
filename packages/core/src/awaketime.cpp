// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <core/awaketime.h>

#include <algorithm>

namespace sedgecart
{

namespace
{

/// Timers fire slightly late even if the processor is idle.
constexpr Duration kTimerSlack = Duration::fromMillis(1);

/// Period over which `slowdown` is measured: some dozen ticks, and no longer than a burst of other work lasts.
constexpr Duration kSlowdownPeriod = Duration::fromMillis(200);

/// Largest slowdown: a node that gets less of the processor has too little information to judge others.
constexpr double kMaxSlowdown = 8;

} // namespace

AwakeTime::AwakeTime(Duration _interval) : maxGap_{_interval.micros + kTimerSlack.micros}
{
}

void AwakeTime::tick(Time _now)
{
	if (ticks_.empty())
	{
		ticks_.push_back(Tick{_now, Duration{}});
		return;
	}
	const Duration gap = _now - ticks_.back().at;
	ticks_.push_back(Tick{_now, ticks_.back().awake + std::min(gap, maxGap_)});
	while (ticks_.front().at + kHistory < _now && 2 < ticks_.size())
	{
		ticks_.pop_front();
	}
}

void AwakeTime::reset()
{
	ticks_.clear();
}

Duration AwakeTime::awakeSince(Time _moment, Time _now) const
{
	if (ticks_.empty() || _now < _moment)
	{
		return Duration{};
	}
	const Time last = ticks_.back().at < _moment ? _moment : ticks_.back().at;
	const Duration sinceLastTick = std::max(Duration{}, _now - last);
	return untilLastTick(_moment) + std::min(sinceLastTick, maxGap_);
}

Duration AwakeTime::untilLastTick(Time _moment) const
{
	if (ticks_.empty() || !(_moment < ticks_.back().at))
	{
		return Duration{};
	}
	const auto after = std::lower_bound(ticks_.begin(), ticks_.end(), _moment,
	                                    [](const Tick& _mark, Time _one)
	                                    {
		                                    return _mark.at < _one;
	                                    });
	const Duration total = ticks_.back().awake - after->awake;
	if (ticks_.begin() == after)
	{
		return total;
	}
	// In the gap that contains the moment, only time that certainly followed the moment counts.
	const Duration gap = after->at - std::prev(after)->at;
	const Duration part = after->at - _moment;
	return gap.micros <= maxGap_.micros ? total + part : total;
}

double AwakeTime::slowdown() const
{
	if (ticks_.size() < 2)
	{
		return 1;
	}
	const Time from{std::max(ticks_.front().at.micros, ticks_.back().at.micros - kSlowdownPeriod.micros)};
	const double passed = static_cast<double>((ticks_.back().at - from).micros);
	const double awake = static_cast<double>(std::max<int64_t>(1, untilLastTick(from).micros));
	return std::clamp(passed / awake, 1.0, kMaxSlowdown);
}

} // namespace sedgecart

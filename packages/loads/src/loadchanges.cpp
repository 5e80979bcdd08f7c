// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <loads/loadchanges.h>

#include <algorithm>
#include <cmath>

namespace sedgecart
{

namespace
{

/// Weight of a change at a target that this hall's nodes do not use, relative to one that they use.
constexpr double kUnusedWeight = 0.125;

/// Weight of a slowdown or a rate limit that changed, as large as that of a load that doubled.
constexpr double kStateWeight = 1;

/// Interval after which an advertised rate limit is published again, so that it does not expire at the nodes.
constexpr Duration kRateInterval = Duration::fromMillis(1000);

/// Relative change of a slowdown that is published.
constexpr double kMinSlowdownChange = 0.05;

/// @returns the change relative to the larger of the two values; at most 1.
double relativeChange(uint64_t _before, uint64_t _after)
{
	const uint64_t larger = std::max<uint64_t>(1, std::max(_before, _after));
	const uint64_t change = std::max(_before, _after) - std::min(_before, _after);
	return static_cast<double>(change) / static_cast<double>(larger);
}

bool hasNewSlowdown(const LoadAmount& _before, const LoadAmount& _after)
{
	return kMinSlowdownChange * std::max(1.0, _before.slowdown) < std::abs(_after.slowdown - _before.slowdown);
}

bool hasNewRate(const LoadAmount& _before, const LoadAmount& _after)
{
	if (!_after.rate.isKnown())
	{
		return false;
	}
	const bool isOutdated = !_before.rate.isKnown() || _before.rate.receivedAt + kRateInterval < _after.rate.receivedAt;
	const bool hadLimit = _before.rate.limit.has_value();
	const bool hasLimit = _after.rate.limit.has_value();
	return isOutdated || hadLimit != hasLimit ||
	       (hasLimit && _before.rate.limit->perSecond != _after.rate.limit->perSecond);
}

/// @returns the weight of a change; 0 if there is none.
double weightOf(const LoadAmount& _before, const LoadAmount& _after)
{
	const bool hasNewState = hasNewSlowdown(_before, _after) || hasNewRate(_before, _after);
	return std::max({relativeChange(_before.requests, _after.requests),
	                 relativeChange(_before.tokenLayers, _after.tokenLayers), hasNewState ? kStateWeight : 0});
}

} // namespace

void LoadChanges::publish(const LoadTable& _totals, const LoadTable& _hall, Time _now)
{
	const bool isFirst = version_ + static_cast<uint64_t>(kHistory.micros) < static_cast<uint64_t>(_now.micros);
	if (isFirst) // or was not the hub meanwhile
	{
		rows_.clear();
		oldest_ = 0;
	}
	std::vector<Candidate> candidates = candidatesOf(_totals, _hall);
	const auto urgentEnd = std::partition(candidates.begin(), candidates.end(),
	                                      [isFirst](const Candidate& _candidate)
	                                      {
		                                      return isFirst || _candidate.isUrgent;
	                                      });
	const auto rest = std::min<std::ptrdiff_t>(kMaxRows, candidates.end() - urgentEnd);
	std::partial_sort(urgentEnd, urgentEnd + rest, candidates.end(),
	                  [](const Candidate& _a, const Candidate& _b)
	                  {
		                  return _b.weight < _a.weight;
	                  });
	version_ = std::max(version_ + 1, static_cast<uint64_t>(std::max<int64_t>(1, _now.micros)));
	oldest_ = 0 == oldest_ ? version_ : oldest_;
	for (auto candidate = candidates.begin(); urgentEnd + rest != candidate; ++candidate)
	{
		rows_[candidate->target] = Row{candidate->amount, version_};
	}
	dropRemoved(_now);
	updates_.clear();
}

std::vector<LoadChanges::Candidate> LoadChanges::candidatesOf(const LoadTable& _totals, const LoadTable& _hall) const
{
	std::vector<Candidate> candidates;
	const auto addIfChanged =
	    [&candidates, &_hall](const TargetIncarnation& _target, const LoadAmount& _before, const LoadAmount& _after)
	{
		const double weight = weightOf(_before, _after) * (0 < _hall.count(_target) ? 1 : kUnusedWeight);
		const bool isUrgent = _before.suspicion != _after.suspicion;
		if (isUrgent || 0 < weight)
		{
			candidates.push_back(Candidate{_target, _after, weight, isUrgent});
		}
	};
	for (const auto& row : _totals)
	{
		const auto known = rows_.find(row.first);
		addIfChanged(row.first, rows_.end() == known ? LoadAmount{} : known->second.published, row.second);
	}
	for (const auto& row : rows_)
	{
		if (0 == _totals.count(row.first) && !isEmpty(row.second.published))
		{
			candidates.push_back(Candidate{row.first, LoadAmount{}, 1, 0 < row.second.published.suspicion});
		}
	}
	return candidates;
}

/// Drops the rows of targets without load whose removal every node with a valid version has received.
void LoadChanges::dropRemoved(Time _now)
{
	const uint64_t horizon = static_cast<uint64_t>(std::max<int64_t>(0, _now.micros - kHistory.micros));
	oldest_ = std::max(oldest_, horizon);
	for (auto row = rows_.begin(); rows_.end() != row;)
	{
		const bool isRemoved = isEmpty(row->second.published) && row->second.changedIn < horizon;
		row = isRemoved ? rows_.erase(row) : std::next(row);
	}
}

LoadUpdate LoadChanges::since(uint64_t _version) const
{
	const bool isKnown = 0 != _version && oldest_ <= _version && _version <= version_;
	LoadUpdate update;
	update.version = version_;
	update.base = isKnown ? _version : 0;
	std::shared_ptr<const LoadTable>& rows = updates_[update.base];
	rows = rows ? rows : rowsSince(update.base);
	update.rows = rows;
	return update;
}

/// @returns the rows that changed after a version; for 0, all rows that have a load.
std::shared_ptr<const LoadTable> LoadChanges::rowsSince(uint64_t _version) const
{
	auto changed = std::make_shared<LoadTable>();
	for (const auto& row : rows_)
	{
		const bool isNeeded = 0 == _version ? !isEmpty(row.second.published) : _version < row.second.changedIn;
		if (isNeeded)
		{
			changed->emplace(row.first, row.second.published);
		}
	}
	return changed;
}

} // namespace sedgecart

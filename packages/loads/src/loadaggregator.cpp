// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <loads/loadaggregator.h>

#include <algorithm>

namespace sedgecart
{

namespace
{

/// How long a node's report counts at least: some reports may be lost, and a node that has switched to another hub must
/// not be counted twice for long.
constexpr Duration kMinReportLifetime = Duration::fromMillis(700);

/// Intervals between reports that a report counts at least: one that is lost or late does not remove a node's loads.
constexpr int64_t kReportIntervals = 3;

/// How long the sum of a hub counts after it was received.
constexpr Duration kSumLifetime = Duration::fromMillis(1500);

/// How long a report prevails over one with a smaller number: longer than a message is overtaken by later ones, and
/// shorter than a restart of a node, which numbers its reports from one again.
constexpr Duration kReorderWindow = Duration::fromMillis(300);

/// Maximum number of nodes of a hall, and of hubs, whose loads are stored: several times as many as there are.
constexpr std::size_t kMaxSenders = 2000;

} // namespace

LoadAggregator::LoadAggregator() : reportLifetime_(kMinReportLifetime)
{
}

void LoadAggregator::setReportInterval(Duration _interval)
{
	const std::lock_guard<std::mutex> lock(mutex_);
	reportLifetime_ = std::max(kMinReportLifetime, Duration{kReportIntervals * _interval.micros});
}

void LoadAggregator::onReport(const std::string& _node, uint64_t _number, LoadTable&& _loads, Time _now)
{
	const std::lock_guard<std::mutex> lock(mutex_);
	const auto last = reports_.find(_node);
	if (reports_.end() != last && _number < last->second.number && _now < last->second.receivedAt + kReorderWindow)
	{
		return; // overtaken by a later report
	}
	storeEntry(reports_, _node, SenderLoads{std::move(_loads), _number, _now}, reportLifetime_);
}

void LoadAggregator::onSum(const std::string& _hub, LoadTable&& _loads, Time _now)
{
	const std::lock_guard<std::mutex> lock(mutex_);
	storeEntry(sums_, _hub, SenderLoads{std::move(_loads), 0, _now}, kSumLifetime);
}

LoadTable LoadAggregator::updateTotals(const LoadTable& _own, Time _now)
{
	const std::lock_guard<std::mutex> lock(mutex_);
	dropExpired(reports_, reportLifetime_, _now);
	dropExpired(sums_, kSumLifetime, _now);
	auto totals = std::make_shared<LoadTotals>();
	LoadTable hall = _own;
	for (const auto& row : reports_)
	{
		addLoads(hall, row.second.loads);
		totals->countedReports[row.first] = row.second.number;
	}
	totals->loads = hall;
	for (const auto& row : sums_)
	{
		addLoads(totals->loads, row.second.loads);
	}
	changes_.publish(totals->loads, hall, _now);
	totals_ = std::move(totals);
	return hall;
}

LoadUpdate LoadAggregator::updateSince(uint64_t _version) const
{
	const std::lock_guard<std::mutex> lock(mutex_);
	return changes_.since(_version);
}

std::shared_ptr<const LoadTotals> LoadAggregator::totals() const
{
	const std::lock_guard<std::mutex> lock(mutex_);
	return totals_;
}

std::vector<std::string> LoadAggregator::hubs(Time _now) const
{
	const std::lock_guard<std::mutex> lock(mutex_);
	std::vector<std::string> names;
	for (const auto& row : sums_)
	{
		if (_now < row.second.receivedAt + kSumLifetime)
		{
			names.push_back(row.first);
		}
	}
	return names;
}

/// Stores an entry while there is space. Only a hub drops expired entries with each update of the totals, but any node
/// may receive reports.
void LoadAggregator::storeEntry(SenderTable& _table, const std::string& _name, SenderLoads&& _entry, Duration _lifetime)
{
	const bool isFull = kMaxSenders <= _table.size() && 0 == _table.count(_name);
	if (isFull)
	{
		dropExpired(_table, _lifetime, _entry.receivedAt);
	}
	if (!isFull || _table.size() < kMaxSenders)
	{
		_table[_name] = std::move(_entry);
	}
}

void LoadAggregator::dropExpired(SenderTable& _table, Duration _lifetime, Time _now)
{
	for (auto row = _table.begin(); _table.end() != row;)
	{
		row = row->second.receivedAt + _lifetime < _now ? _table.erase(row) : std::next(row);
	}
}

} // namespace sedgecart

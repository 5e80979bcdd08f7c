// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <loads/loadboard.h>

#include <algorithm>
#include <limits>

namespace sedgecart
{

namespace
{

/// A node's report counts for so long: some reports may be lost, and a node that has gone to another hub must not count
/// twice for long.
constexpr Duration kReportCounts = Duration::fromMillis(700);

/// A hub that was not heard for so long counts no more.
constexpr Duration kSumCounts = Duration::fromMillis(1500);

/// Most nodes of a hall, and most hubs, whose word is kept: some times as many as there are.
constexpr std::size_t kMostTold = 2000;

/// A sum that wraps would turn much into little.
template <typename Number> void addUpTo(Number& _sum, Number _more)
{
	const Number left = std::numeric_limits<Number>::max() - _sum;
	_sum += std::min(left, _more);
}

void add(LoadAmount& _sum, const LoadAmount& _more)
{
	addUpTo(_sum.tokenLayers, _more.tokenLayers);
	addUpTo(_sum.requests, _more.requests);
	addUpTo(_sum.suspicion, _more.suspicion);
	_sum.pace = std::max(_sum.pace, _more.pace);
	_sum.rate = _sum.rate.heardAt < _more.rate.heardAt ? _more.rate : _sum.rate;
}

} // namespace

void addLoads(LoadTable& _sum, const LoadTable& _more)
{
	for (const auto& row : _more)
	{
		add(_sum[row.first], row.second);
	}
}

LoadAmount loadAt(const LoadTable& _table, const TargetLife& _life)
{
	LoadAmount amount;
	auto row = _table.lower_bound(TargetLife{_life.instance, BirthTime{INT64_MIN}});
	for (; _table.end() != row && row->first.instance == _life.instance; ++row)
	{
		if (LifeOrder::Same == compareLives(_life, row->first, LifeEvidence::Unknown))
		{
			add(amount, row->second);
		}
	}
	return amount;
}

void subtractLoads(LoadTable& _sum, const LoadTable& _less)
{
	for (const auto& row : _less)
	{
		const auto amount = _sum.find(row.first);
		if (_sum.end() == amount)
		{
			continue;
		}
		amount->second.tokenLayers -= std::min(amount->second.tokenLayers, row.second.tokenLayers);
		amount->second.requests -= std::min(amount->second.requests, row.second.requests);
		amount->second.suspicion -= std::min(amount->second.suspicion, row.second.suspicion);
	}
}

void LoadBoard::takeReport(const std::string& _node, uint64_t _number, LoadTable&& _loads, Time _now)
{
	const std::lock_guard<std::mutex> lock(mutex_);
	keep(reports_, _node, Told{std::move(_loads), _number, _now}, kReportCounts);
}

void LoadBoard::takeSum(const std::string& _hub, LoadTable&& _loads, Time _now)
{
	const std::lock_guard<std::mutex> lock(mutex_);
	keep(sums_, _hub, Told{std::move(_loads), 0, _now}, kSumCounts);
}

LoadTable LoadBoard::addUp(const LoadTable& _own, Time _now)
{
	const std::lock_guard<std::mutex> lock(mutex_);
	dropOld(reports_, kReportCounts, _now);
	dropOld(sums_, kSumCounts, _now);
	auto totals = std::make_shared<LoadTotals>();
	LoadTable hall = _own;
	for (const auto& row : reports_)
	{
		addLoads(hall, row.second.loads);
		totals->counted[row.first] = row.second.number;
	}
	totals->loads = hall;
	for (const auto& row : sums_)
	{
		addLoads(totals->loads, row.second.loads);
	}
	totals_ = std::move(totals);
	return hall;
}

std::shared_ptr<const LoadTotals> LoadBoard::totals() const
{
	const std::lock_guard<std::mutex> lock(mutex_);
	return totals_;
}

std::vector<std::string> LoadBoard::hubs(Time _now) const
{
	const std::lock_guard<std::mutex> lock(mutex_);
	std::vector<std::string> names;
	for (const auto& row : sums_)
	{
		if (_now < row.second.at + kSumCounts)
		{
			names.push_back(row.first);
		}
	}
	return names;
}

/// Only a hub drops what is old with each sum; any node may be told something.
void LoadBoard::keep(ToldTable& _told, const std::string& _name, Told&& _word, Duration _counts)
{
	const bool isFull = kMostTold <= _told.size() && 0 == _told.count(_name);
	if (isFull)
	{
		dropOld(_told, _counts, _word.at);
	}
	if (!isFull || _told.size() < kMostTold)
	{
		_told[_name] = std::move(_word);
	}
}

void LoadBoard::dropOld(ToldTable& _told, Duration _keep, Time _now)
{
	for (auto row = _told.begin(); _told.end() != row;)
	{
		row = row->second.at + _keep < _now ? _told.erase(row) : std::next(row);
	}
}

} // namespace sedgecart

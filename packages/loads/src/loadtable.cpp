// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <loads/loadtable.h>

#include <algorithm>
#include <limits>

namespace sedgecart
{

namespace
{

/// Adds with saturation. A sum that wraps around would turn a large load into a small one.
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
	_sum.slowdown = std::max(_sum.slowdown, _more.slowdown);
	_sum.rate = _sum.rate.receivedAt < _more.rate.receivedAt ? _more.rate : _sum.rate;
}

} // namespace

void addLoads(LoadTable& _sum, const LoadTable& _more)
{
	for (const auto& row : _more)
	{
		add(_sum[row.first], row.second);
	}
}

LoadAmount loadAt(const LoadTable& _table, const TargetIncarnation& _life)
{
	LoadAmount amount;
	auto row = _table.lower_bound(TargetIncarnation{_life.instance, StartTime{INT64_MIN}});
	for (; _table.end() != row && row->first.instance == _life.instance; ++row)
	{
		if (IncarnationOrder::Same == compareIncarnations(_life, row->first, ReportTiming::Unknown))
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
		subtractLoad(amount->second, row.second);
	}
}

void subtractLoad(LoadAmount& _sum, const LoadAmount& _less)
{
	_sum.tokenLayers -= std::min(_sum.tokenLayers, _less.tokenLayers);
	_sum.requests -= std::min(_sum.requests, _less.requests);
	_sum.suspicion -= std::min(_sum.suspicion, _less.suspicion);
}

bool isEmpty(const LoadAmount& _amount)
{
	return 0 == _amount.tokenLayers && 0 == _amount.requests && 0 == _amount.suspicion && 0 == _amount.slowdown &&
	       !_amount.rate.isKnown();
}

void applyChanges(const LoadTable& _changes, LoadTable& _table)
{
	for (const auto& row : _changes)
	{
		if (isEmpty(row.second))
		{
			_table.erase(row.first);
			continue;
		}
		_table[row.first] = row.second;
	}
}

} // namespace sedgecart

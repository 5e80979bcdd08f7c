// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <loads/loadrows.h>

#include <wire/sedgecart.pb.h>

#include <algorithm>

namespace sedgecart
{

namespace
{

/// Most that a target can be slower than usual, whoever says so.
constexpr double kMostPace = 1e6;

} // namespace

void putLoadRows(const LoadTable& _table, LoadRows& _rows)
{
	for (const auto& row : _table)
	{
		wire::FleetLoadRow* const out = _rows.Add();
		out->set_target(row.first.instance.text);
		out->set_born(row.first.born.unixMillis);
		out->set_token_layers(row.second.tokenLayers);
		out->set_requests(row.second.requests);
		out->set_pace(row.second.pace);
		out->set_suspicion(row.second.suspicion);
	}
}

LoadTable loadTableOf(const LoadRows& _rows)
{
	LoadTable table;
	for (const wire::FleetLoadRow& row : _rows)
	{
		const TargetLife life{InstanceId{row.target()}, BirthTime{std::max<int64_t>(0, row.born())}};
		const bool isPace = 0 < row.pace() && row.pace() <= kMostPace; // false as well for what is no number
		table[life] = LoadAmount{row.token_layers(), row.requests(), row.suspicion(), isPace ? row.pace() : 0};
	}
	return table;
}

} // namespace sedgecart

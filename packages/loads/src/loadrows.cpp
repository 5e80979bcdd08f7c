// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <loads/loadrows.h>

#include <wire/sedgecart.pb.h>

#include <algorithm>
#include <cmath>

namespace sedgecart
{

namespace
{

/// Most that a target can be slower than usual, whoever says so.
constexpr double kMostPace = 1e6;

/// What a row says of a rate limit if the target names none.
constexpr double kNoLimit = -1;

/// A word on a rate limit is not told for longer, microseconds.
constexpr uint64_t kMostRateAge = 60ULL * 1000 * 1000;

void putRate(const AdvertisedRate& _word, Time _now, wire::FleetLoadRow& _row)
{
	if (_word.isHeard())
	{
		_row.set_rate_limit(_word.limit ? _word.limit->perSecond : kNoLimit);
		_row.set_rate_age_us(static_cast<uint64_t>(std::max<int64_t>(0, (_now - _word.heardAt).micros)) + 1);
	}
}

/// @returns nothing heard for what is no rate.
AdvertisedRate rateOf(const wire::FleetLoadRow& _row, Time _now)
{
	const bool isNone = kNoLimit == _row.rate_limit();
	const bool isRate = std::isfinite(_row.rate_limit()) && 0 <= _row.rate_limit();
	if (0 == _row.rate_age_us() || kMostRateAge < _row.rate_age_us() || (!isNone && !isRate))
	{
		return AdvertisedRate{};
	}
	AdvertisedRate word;
	word.heardAt = Time{_now.micros - static_cast<int64_t>(_row.rate_age_us() - 1)};
	if (isRate)
	{
		word.limit = RequestRate{_row.rate_limit()};
	}
	return word;
}

} // namespace

void putLoadRows(const LoadTable& _table, Time _now, LoadRows& _rows)
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
		putRate(row.second.rate, _now, *out);
	}
}

LoadTable loadTableOf(const LoadRows& _rows, Time _now)
{
	LoadTable table;
	for (const wire::FleetLoadRow& row : _rows)
	{
		const TargetLife life{InstanceId{row.target()}, BirthTime{std::max<int64_t>(0, row.born())}};
		const bool isPace = 0 < row.pace() && row.pace() <= kMostPace; // false as well for what is no number
		table[life] =
		    LoadAmount{row.token_layers(), row.requests(), row.suspicion(), isPace ? row.pace() : 0, rateOf(row, _now)};
	}
	return table;
}

} // namespace sedgecart

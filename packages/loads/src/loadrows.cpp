// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <loads/loadrows.h>

#include <wire/sedgecart.pb.h>

#include <algorithm>
#include <cmath>

namespace sedgecart
{

namespace
{

/// Largest slowdown of a target that is accepted.
constexpr double kMaxSlowdown = 1e6;

/// Value of the rate limit in a row if the target advertises none.
constexpr double kNoLimit = -1;

/// Maximum age of an advertised rate limit, microseconds.
constexpr uint64_t kMaxRateAge = 60ULL * 1000 * 1000;

void putRate(const AdvertisedRate& _rate, Time _now, wire::FleetLoadRow& _row)
{
	if (_rate.isKnown())
	{
		_row.set_rate_limit(_rate.limit ? _rate.limit->perSecond : kNoLimit);
		_row.set_rate_age_us(static_cast<uint64_t>(std::max<int64_t>(0, (_now - _rate.receivedAt).micros)) + 1);
	}
}

/// @returns the rate limit in a row; an empty one if the row holds none or an invalid one.
AdvertisedRate rateOf(const wire::FleetLoadRow& _row, Time _now)
{
	const bool isNone = kNoLimit == _row.rate_limit();
	const bool isRate = std::isfinite(_row.rate_limit()) && 0 <= _row.rate_limit();
	if (0 == _row.rate_age_us() || kMaxRateAge < _row.rate_age_us() || (!isNone && !isRate))
	{
		return AdvertisedRate{};
	}
	AdvertisedRate rate;
	rate.receivedAt = Time{_now.micros - static_cast<int64_t>(_row.rate_age_us() - 1)};
	if (isRate)
	{
		rate.limit = RequestRate{_row.rate_limit()};
	}
	return rate;
}

} // namespace

void putLoadRows(const LoadTable& _table, Time _now, LoadRows& _rows)
{
	for (const auto& row : _table)
	{
		wire::FleetLoadRow* const out = _rows.Add();
		out->set_target(row.first.instance.text);
		out->set_born(row.first.startTime.unixMillis);
		out->set_token_layers(row.second.tokenLayers);
		out->set_requests(row.second.requests);
		out->set_pace(row.second.slowdown);
		out->set_suspicion(row.second.suspicion);
		putRate(row.second.rate, _now, *out);
	}
}

LoadTable loadTableOf(const LoadRows& _rows, Time _now)
{
	LoadTable table;
	for (const wire::FleetLoadRow& row : _rows)
	{
		const TargetIncarnation incarnation{InstanceId{row.target()}, StartTime{std::max<int64_t>(0, row.born())}};
		const bool isSlowdown = 0 < row.pace() && row.pace() <= kMaxSlowdown; // false for NaN as well
		table[incarnation] = LoadAmount{row.token_layers(), row.requests(), row.suspicion(),
		                                isSlowdown ? row.pace() : 0, rateOf(row, _now)};
	}
	return table;
}

} // namespace sedgecart

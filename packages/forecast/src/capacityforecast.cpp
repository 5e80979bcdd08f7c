// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <forecast/capacityforecast.h>

#include <algorithm>
#include <iterator>

namespace sedgecart
{

namespace
{

/// Ten times the interval of reports: a node that does not report for so long has stopped or is cut off.
constexpr Duration kMaxReportAge = Duration::fromMillis(1500);
constexpr int64_t kMaxReportAgeSlots = kMaxReportAge.micros / kSlot.micros + 2;

/// Limit of each reported value, so that sums over all nodes do not overflow.
constexpr uint64_t kMaxValue = 1ULL << 32;

/// All nodes together share one part in this many equally, so that a node without demand has a forecast for its first
/// refusal.
constexpr uint64_t kEqualPart = 10;

uint64_t clampedTotal(const UrgencyTokens& _tokens)
{
	return std::min(totalTokens(_tokens), kMaxValue);
}

StepTokens clamped(const StepTokens& _tokens)
{
	StepTokens result{};
	std::transform(_tokens.begin(), _tokens.end(), result.begin(),
	               [](uint64_t _one)
	               {
		               return std::min(_one, kMaxValue);
	               });
	return result;
}

uint64_t nonNegative(int64_t _tokens)
{
	return static_cast<uint64_t>(std::max<int64_t>(_tokens, 0));
}

uint64_t scaled(uint64_t _tokens, double _part, double _whole)
{
	return static_cast<uint64_t>(static_cast<double>(_tokens) * _part / _whole);
}

} // namespace

bool CapacityForecast::onReport(const std::string& _node, const ServiceDemand& _demand, Time _reportedAt)
{
	dropExpired(_reportedAt);
	const auto found = rows_.find(_node);
	const bool isKnown = rows_.end() != found;
	if (isKnown ? _reportedAt < found->second.reportedAt : kMaxNodes <= rows_.size())
	{
		return false;
	}
	Row& row = isKnown ? found->second : rows_[_node];
	if (isKnown)
	{
		count(row, -1);
	}
	row.reportedAt = _reportedAt;
	row.waiting = clampedTotal(_demand.waiting);
	row.demand = row.waiting + clampedTotal(_demand.recent);
	row.released = StepRow::fromSteps(clamped(_demand.released), _reportedAt);
	row.promised = StepRow::fromSteps(clamped(_demand.promised), _reportedAt);
	count(row, 1);
	return true;
}

StepTokens CapacityForecast::forecast(const std::string& _node, uint64_t _freeTokens, Time _now)
{
	dropExpired(_now);
	const auto found = rows_.find(_node);
	if (rows_.end() == found)
	{
		return StepTokens{};
	}
	Row& row = found->second;
	given_.add(row.given, -1);
	const uint64_t free = std::min(_freeTokens, kMaxValue);
	const int64_t now = slotOf(_now);
	StepTokens result{};
	for (std::size_t step = 0; step < kForecastSteps; ++step)
	{
		const int64_t last = now + (static_cast<int64_t>(step) + 1) * kSlotsPerStep - 1;
		const uint64_t capacity = free + nonNegative(released_.sum(now, last));
		const uint64_t fair =
		    fairPart(row, capacity, nonNegative(promised_.sum(now, last)), nonNegative(row.promised.sum(now, last)));
		// What other nodes may promise by their last answers. It exceeds their fair parts while demands change.
		const uint64_t others = nonNegative(given_.sum(now - kMaxReportAgeSlots, last));
		result[step] = others < capacity ? std::min(fair, capacity - others) : 0;
	}
	row.given = StepRow::fromCumulative(result, _now);
	given_.add(row.given, 1);
	return result;
}

/// The parts of all nodes add up to the capacity: each gets what it needs for its waiting requests and its promises,
/// and of the remainder a part in proportion to its demand. If too much was promised, all are reduced alike.
uint64_t CapacityForecast::fairPart(const Row& _row, uint64_t _capacity, uint64_t _promised,
                                    uint64_t _ownPromised) const
{
	const uint64_t claims = waiting_ + _promised;
	const uint64_t ownClaims = _row.waiting + _ownPromised;
	if (_capacity < claims)
	{
		return scaled(_capacity, static_cast<double>(ownClaims), static_cast<double>(claims));
	}
	const double equal = static_cast<double>(demand_) / static_cast<double>(kEqualPart * rows_.size()) + 1;
	const double all = static_cast<double>(demand_) + equal * static_cast<double>(rows_.size());
	return ownClaims + scaled(_capacity - claims, static_cast<double>(_row.demand) + equal, all);
}

std::size_t CapacityForecast::nodes(Time _now)
{
	dropExpired(_now);
	return rows_.size();
}

void CapacityForecast::count(const Row& _row, int64_t _sign)
{
	const auto sign = static_cast<uint64_t>(_sign);
	demand_ += sign * _row.demand;
	waiting_ += sign * _row.waiting;
	released_.add(_row.released, _sign);
	promised_.add(_row.promised, _sign);
}

/// At most once for each slot, so that the cost of a report does not grow with the number of nodes.
void CapacityForecast::dropExpired(Time _now)
{
	if (sweptSlot_ && slotOf(_now) <= *sweptSlot_)
	{
		return;
	}
	sweptSlot_ = slotOf(_now);
	for (auto row = rows_.begin(); row != rows_.end();)
	{
		const bool expired = kMaxReportAge < _now - row->second.reportedAt;
		if (expired)
		{
			count(row->second, -1);
			given_.add(row->second.given, -1);
		}
		row = expired ? rows_.erase(row) : std::next(row);
	}
}

} // namespace sedgecart

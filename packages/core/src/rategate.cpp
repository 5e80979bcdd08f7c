// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <core/rategate.h>

#include <algorithm>
#include <cmath>

namespace sedgecart
{

namespace
{

/// Part of a limit that one sender uses, requests a second: low enough for one node's callers to fill.
constexpr double kPerSender = 1;

/// Requests a second that a target gets whose limit is lower: with no answer it could not take its word back.
constexpr double kLeastLimit = 0.05;

/// Nobody has heard from a target for so long: its senders may be gone. Longer than a usual answer takes to begin.
constexpr Duration kQuiet = Duration::fromMillis(3000);

/// The same in times that a sender waits between two requests.
constexpr int64_t kQuietSpacings = 2;

constexpr double kMicrosPerSecond = 1e6;

/// Senders of a target, and the time between two requests of each.
struct Shares
{
	uint32_t senders = 1;
	Duration spacing;
};

Shares sharesOf(RequestRate _limit, const RateOrder& _order)
{
	const uint32_t most = std::max(1U, 0 < _order.hallNodes ? _order.hallNodes : _order.nodes);
	const double limit = std::max(kLeastLimit, _limit.perSecond);
	const double wanted = std::ceil(limit / kPerSender);
	const auto senders = static_cast<uint32_t>(std::clamp(wanted, 1.0, static_cast<double>(most)));
	const double spacing = senders * kMicrosPerSecond / limit;
	return Shares{senders, Duration{static_cast<int64_t>(std::ceil(spacing))}};
}

/// @returns true if it is this node's turn to be among the senders.
bool isSender(const Shares& _shares, const AdvertisedRate& _word, const RateOrder& _order, Time _now)
{
	const Duration quiet{std::max(kQuiet.micros, kQuietSpacings * _shares.spacing.micros)};
	const auto turns = static_cast<uint64_t>(std::max<int64_t>(0, (_now - _word.heardAt).micros) / quiet.micros);
	const uint64_t nodes = std::max(1U, _order.nodes);
	const uint64_t first = turns * _shares.senders % nodes;
	return (_order.rank + nodes - first) % nodes < _shares.senders;
}

} // namespace

bool RateGate::admits(const AdvertisedRate& _word, const RateOrder& _order, Time _now) const
{
	return !(_now < opensAt(_word, _order, _now));
}

Time RateGate::opensAt(const AdvertisedRate& _word, const RateOrder& _order, Time _now) const
{
	if (!_word.limit)
	{
		return _now;
	}
	const Shares shares = sharesOf(*_word.limit, _order);
	if (!isSender(shares, _word, _order, _now))
	{
		return kNever;
	}
	const bool isFirst = std::numeric_limits<int64_t>::min() == sentAt_.micros;
	return isFirst ? _now : std::max(_now, sentAt_ + shares.spacing);
}

} // namespace sedgecart

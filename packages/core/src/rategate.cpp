// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <core/rategate.h>

#include <algorithm>
#include <cmath>

namespace sedgecart
{

namespace
{

/// Share of a limit that one sender uses, in requests per second: low enough for one node's callers to use it up.
constexpr double kRatePerSender = 1;

/// Minimum rate in requests per second, also for targets that advertise less: a target advertises a new limit only in a
/// response, so that it must receive requests.
constexpr double kMinLimit = 0.05;

/// Time without a reported response of a target after which its senders count as gone. Longer than a response usually
/// takes to start.
constexpr Duration kSilence = Duration::fromMillis(3000);

/// The same as a multiple of the time between two requests of a sender.
constexpr int64_t kSilenceSpacings = 2;

constexpr double kMicrosPerSecond = 1e6;

/// Number of senders of a target, and the time between two requests of each.
struct SenderShare
{
	uint32_t senders = 1;
	Duration spacing;
};

SenderShare senderShareOf(RequestRate _limit, const SenderOrder& _order)
{
	const uint32_t maxSenders = std::max(1U, 0 < _order.hallNodes ? _order.hallNodes : _order.nodes);
	const double limit = std::max(kMinLimit, _limit.perSecond);
	const double wanted = std::ceil(limit / kRatePerSender);
	const auto senders = static_cast<uint32_t>(std::clamp(wanted, 1.0, static_cast<double>(maxSenders)));
	const double spacing = senders * kMicrosPerSecond / limit;
	return SenderShare{senders, Duration{static_cast<int64_t>(std::ceil(spacing))}};
}

/// @returns true if this node is currently a sender.
bool isSender(const SenderShare& _share, const AdvertisedRate& _advertised, const SenderOrder& _order, Time _now)
{
	const Duration silence{std::max(kSilence.micros, kSilenceSpacings * _share.spacing.micros)};
	const auto rotations =
	    static_cast<uint64_t>(std::max<int64_t>(0, (_now - _advertised.receivedAt).micros) / silence.micros);
	const uint64_t nodes = std::max(1U, _order.nodes);
	const uint64_t first = rotations * _share.senders % nodes;
	return (_order.rank + nodes - first) % nodes < _share.senders;
}

} // namespace

bool RateGate::admits(const AdvertisedRate& _advertised, const SenderOrder& _order, Time _now) const
{
	return !(_now < nextSendAt(_advertised, _order, _now));
}

Time RateGate::nextSendAt(const AdvertisedRate& _advertised, const SenderOrder& _order, Time _now) const
{
	if (!_advertised.limit)
	{
		return _now;
	}
	const SenderShare share = senderShareOf(*_advertised.limit, _order);
	if (!isSender(share, _advertised, _order, _now))
	{
		return kNever;
	}
	return std::max(_now, sentAt_ + share.spacing);
}

} // namespace sedgecart

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "deliverymonitor_p.h"

#include <base/config.h>

#include <algorithm>

namespace sedgecart
{

namespace
{

constexpr Duration kMinStall = Duration::fromMillis(SEDGECART_CONFIG_UNACKNOWLEDGED_MS);
constexpr Duration kMaxStall = Duration::fromMillis(SEDGECART_CONFIG_MOST_STALL_MS);
constexpr uint64_t kMillisPerSecond = 1000;

/// @returns how long a peer that has acknowledged this many bytes may acknowledge nothing more.
Duration stallBound(uint64_t _acknowledged)
{
	const uint64_t millis = _acknowledged * kMillisPerSecond / SEDGECART_CONFIG_SLOW_PEER_BYTES;
	return std::clamp(Duration::fromMillis(static_cast<int64_t>(millis)), kMinStall, kMaxStall);
}

} // namespace

void DeliveryMonitor::startMessage(const SentBytes& _sent)
{
	if (0 == _sent.unacknowledged)
	{
		baseline_ = _sent.written;
		acknowledged_ = _sent.written;
		stalledFor_ = Duration{};
	}
}

DeliveryState::Enum DeliveryMonitor::update(const SentBytes& _sent, Duration _interval)
{
	const uint64_t acknowledged = _sent.written - _sent.unacknowledged;
	const bool progress = acknowledged_ < acknowledged;
	acknowledged_ = acknowledged;
	if (0 == _sent.unacknowledged)
	{
		stalledFor_ = Duration{};
		return DeliveryState::Done;
	}
	stalledFor_ = progress ? Duration{} : stalledFor_ + _interval;
	return stalledFor_ < stallBound(acknowledged - baseline_) ? DeliveryState::Progressing : DeliveryState::Stalled;
}

} // namespace sedgecart

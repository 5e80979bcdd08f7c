// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <core/limiter.h>

#include <core/targetboard.h>

#include <algorithm>

namespace sedgecart
{

namespace
{

constexpr uint32_t kMilli = 1000;
constexpr uint32_t kHeadroomPercent = 150; // of the even share: arrivals are never evenly distributed
constexpr uint32_t kCutPercent = 80;
constexpr int64_t kMinCutIntervalMicros = 200000; // refusals close together count as one
constexpr auto kRelaxed = std::memory_order_relaxed;

uint32_t clampLimit(uint64_t _limitMilli, uint32_t _slots)
{
	const uint64_t max = static_cast<uint64_t>(std::max(1U, _slots)) * kMilli;
	return static_cast<uint32_t>(std::clamp<uint64_t>(_limitMilli, kMilli, max));
}

/// @returns the even share of a target's slots, with headroom.
uint32_t firstLimit(uint32_t _slots, uint32_t _nodes)
{
	const uint64_t share = static_cast<uint64_t>(_slots) * kMilli * kHeadroomPercent / 100 / std::max(1U, _nodes);
	return clampLimit(share, _slots);
}

} // namespace

void Limiter::start(TargetHandle _target, uint32_t _slots, uint32_t _liveNodes)
{
	TargetCounters& counters = board_.at(_target);
	uint32_t unset = 0;
	counters.limitMilli.compare_exchange_strong(unset, firstLimit(_slots, _liveNodes), kRelaxed);
}

void Limiter::rescale(TargetHandle _target, uint32_t _slots, uint32_t _nodesBefore, uint32_t _nodesNow)
{
	TargetCounters& counters = board_.at(_target);
	const uint32_t limit = counters.limitMilli.load(kRelaxed);
	const uint64_t scaled = static_cast<uint64_t>(limit) * _nodesBefore / _nodesNow;
	// A limit equal to the target's slots was clamped to them and would lose its headroom by scaling: a node that has
	// just started and detects the other nodes after itself would keep two slots of eight instead of the four that each
	// of three nodes is due.
	const bool wasCapped = clampLimit(UINT64_MAX, _slots) <= limit;
	const uint64_t lowerBound = wasCapped ? firstLimit(_slots, _nodesNow) : 0;
	counters.limitMilli.store(clampLimit(std::max(scaled, lowerBound), _slots), kRelaxed);
}

void Limiter::onSuccess(TargetHandle _target, uint32_t _slots)
{
	TargetCounters& counters = board_.at(_target);
	const uint32_t limit = counters.limitMilli.load(kRelaxed);
	const bool nearLimit = limit <= (counters.inFlight.load(kRelaxed) + 1) * kMilli;
	if (0 == limit || !nearLimit)
	{
		return;
	}
	const uint64_t grown = limit + static_cast<uint64_t>(kMilli) * kMilli / limit;
	counters.limitMilli.store(clampLimit(grown, _slots), kRelaxed);
}

void Limiter::onRefusal(TargetHandle _target, Time _now)
{
	TargetCounters& counters = board_.at(_target);
	counters.refused.fetch_add(1, kRelaxed);
	int64_t cutAt = counters.limitReducedAt.load(kRelaxed);
	const bool justCut = 0 != cutAt && _now.micros - cutAt < kMinCutIntervalMicros;
	if (justCut || !counters.limitReducedAt.compare_exchange_strong(cutAt, _now.micros, kRelaxed))
	{
		return;
	}
	const uint32_t limit = counters.limitMilli.load(kRelaxed);
	counters.limitMilli.store(std::max(kMilli, limit / 100 * kCutPercent), kRelaxed);
}

} // namespace sedgecart

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <core/targetboard.h>

#include <base/config.h>

#include <algorithm>

namespace sedgecart
{

namespace
{

constexpr uint32_t kMaxDoublings = 8;
constexpr auto kRelaxed = std::memory_order_relaxed;

} // namespace

TargetBoard::TargetBoard() : counters_(std::make_unique<TargetCounters[]>(SEDGECART_CONFIG_MAX_TARGETS))
{
}

TargetBoard::~TargetBoard() = default;

TargetHandle TargetBoard::handleOf(const std::string& _name)
{
	const auto found = handles_.find(_name);
	if (handles_.end() != found)
	{
		return found->second;
	}
	if (SEDGECART_CONFIG_MAX_TARGETS <= handles_.size())
	{
		return TargetHandle{};
	}
	const TargetHandle handle{static_cast<uint32_t>(handles_.size())};
	handles_[_name] = handle;
	return handle;
}

void TargetBoard::onReport(TargetHandle _target, const TargetReport& _report, Time _now)
{
	TargetCounters& counters = at(_target);
	const uint32_t own = counters.inFlight.load(kRelaxed);
	counters.remoteInFlight.store(_report.active < own ? 0 : _report.active - own, kRelaxed);
	counters.stepMicros.store(_report.stepMicros, kRelaxed);
	counters.slowdownMilli.store(_report.slowdownMilli, kRelaxed);
	counters.leaving.store(_report.leaving, kRelaxed);
	counters.holdsLayers.store(_report.holdsLayers, kRelaxed);
	counters.heldFence.store(_report.fence, kRelaxed);
	counters.reportAt.store(_now.micros, kRelaxed);
}

void TargetBoard::onFailure(TargetHandle _target, Time _now)
{
	TargetCounters& counters = at(_target);
	// Requests that fail together because of one fault count as one failure.
	if (_now.micros < counters.ejectedUntil.load(kRelaxed))
	{
		return;
	}
	const uint32_t doublings = std::min(counters.failures.fetch_add(1, kRelaxed), kMaxDoublings);
	const int64_t millis =
	    std::min<int64_t>(static_cast<int64_t>(SEDGECART_CONFIG_EJECT_MS) << doublings, SEDGECART_CONFIG_EJECT_MAX_MS);
	counters.ejectedUntil.store((_now + Duration::fromMillis(millis)).micros, kRelaxed);
	// A new report is required before the target gets requests, which must not serve as probes.
	counters.reportAt.store(0, kRelaxed);
}

void TargetBoard::markFull(TargetHandle _target, uint32_t _slots)
{
	at(_target).remoteInFlight.store(_slots, kRelaxed);
}

void TargetBoard::onSuccess(TargetHandle _target)
{
	TargetCounters& counters = at(_target);
	if (0 != counters.failures.load(kRelaxed))
	{
		counters.failures.store(0, kRelaxed);
	}
}

bool TargetBoard::isHealthy(TargetHandle _target, Time _now) const
{
	const TargetCounters& counters = at(_target);
	return counters.ejectedUntil.load(kRelaxed) <= _now.micros && !counters.leaving.load(kRelaxed);
}

bool TargetBoard::holdsLayers(TargetHandle _target, uint64_t _fence) const
{
	const TargetCounters& counters = at(_target);
	return counters.holdsLayers.load(kRelaxed) && _fence == counters.heldFence.load(kRelaxed);
}

bool TargetBoard::isReportFresh(TargetHandle _target, Time _now) const
{
	const int64_t reportAt = at(_target).reportAt.load(kRelaxed);
	return 0 != reportAt && _now.micros - reportAt < SEDGECART_CONFIG_LOAD_STALE_MS * int64_t{1000};
}

uint32_t TargetBoard::load(TargetHandle _target) const
{
	const TargetCounters& counters = at(_target);
	return counters.remoteInFlight.load(kRelaxed) + counters.inFlight.load(kRelaxed);
}

} // namespace sedgecart

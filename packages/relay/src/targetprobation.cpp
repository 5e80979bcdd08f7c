// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "targetprobation_p.h"

#include <base/clock.h>
#include <logging/logging.h>
#include <ports/runnerorders.h>
#include <relay/relaycontext.h>

#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <chrono>

namespace sedgecart
{

namespace
{

/// Failures in a row after which a target is left out. Those while it is avoided are one with the failure before.
constexpr uint32_t kMaxInRow = 3;

/// Pause before the first probe, and the longest one. It doubles with each failure: a target may answer probes and
/// still no request.
constexpr Duration kFirstPause = Duration::fromMillis(1500);
constexpr Duration kMaxPause = Duration::fromMillis(12000);

/// Timeout of a probe.
constexpr Duration kProbeTimeout = Duration::fromMillis(150);

/// @returns twice the pause, up to the longest one.
Duration doubled(Duration _pause)
{
	return Duration{std::min(kMaxPause.micros, 2 * _pause.micros)};
}

} // namespace

void TargetProbation::recordWorthless(const RelayContext& _context, const FleetTarget& _target)
{
	TargetLoad& load = *_target.load;
	const bool isAvoided = _context.clock.now().micros < load.avoidedUntil.load(std::memory_order_relaxed);
	if (isAvoided)
	{
		return;
	}
	const uint32_t inRow = 1 + load.worthlessInRow.fetch_add(1, std::memory_order_relaxed);
	if (kMaxInRow <= inRow && !load.leftOut.exchange(true, std::memory_order_relaxed))
	{
		std::make_shared<TargetProbation>(_context, _target)->waitThenProbe();
	}
}

TargetProbation::TargetProbation(const RelayContext& _context, const FleetTarget& _target)
    : timer_(_context.loop),
      orders_(_context.orders),
      load_(_target.load),
      instance_(_target.record.instance.text),
      address_(_target.record.address),
      pause_(kFirstPause)
{
	const uint32_t inRow = _target.load->worthlessInRow.load(std::memory_order_relaxed);
	for (uint32_t failure = kMaxInRow; failure < inRow && pause_ < kMaxPause; ++failure)
	{
		pause_ = doubled(pause_);
	}
	logEvent(LogPart::Targets, LogLevel::Warning, "Target is left out: it sends bytes that are no answer.",
	         {{"target", instance_}, {"in_row", std::to_string(inRow)}, {"probe_ms", std::to_string(pause_.millis())}});
}

void TargetProbation::waitThenProbe()
{
	timer_.expires_after(std::chrono::microseconds(pause_.micros));
	timer_.async_wait(
	    [self = shared_from_this()](const boost::system::error_code& _error)
	    {
		    if (!_error && !self->load_.expired())
		    {
			    self->probe();
		    }
	    });
}

void TargetProbation::probe()
{
	orders_.probe(address_, kProbeTimeout,
	              [self = shared_from_this()](const ProbeAnswer& _answer)
	              {
		              const std::shared_ptr<TargetLoad> load = self->load_.lock();
		              if (!load)
		              {
			              return;
		              }
		              if (!_answer.answered)
		              {
			              self->pause_ = doubled(self->pause_);
			              self->waitThenProbe();
			              return;
		              }
		              load->leftOut.store(false, std::memory_order_relaxed);
		              logEvent(LogPart::Targets, LogLevel::Info, "Target that was left out answers.",
		                       {{"target", self->instance_}});
	              });
}

} // namespace sedgecart

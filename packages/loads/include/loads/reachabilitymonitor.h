// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_LOADS_REACHABILITYMONITOR_H_HEADER_GUARD
#define SEDGECART_LOADS_REACHABILITYMONITOR_H_HEADER_GUARD

#include <aio/timer.h>
#include <base/clock.h>
#include <base/random.h>
#include <core/targetreachability.h>
#include <fleet/fleetview.h>
#include <metrics/metrics.h>

#include <vector>

namespace boost::asio
{
class io_context;
} // namespace boost::asio

namespace sedgecart
{

/// Publishes whether this node is cut off from all targets (`FleetCell::isCutOff`). While it is, no request connects to
/// a target, so it connects to some itself to notice when they can be reached again. Loop thread only.
class ReachabilityMonitor
{
public:
	ReachabilityMonitor(boost::asio::io_context& _loop, const ClockI& _clock, FleetCell& _cell, RandomI& _random,
	                    Metrics& _metrics);

	/// A connection to the target was established.
	void onConnected(const TargetIncarnation& _target);

	/// No connection to the target could be established, or a query over a new connection got no answer.
	void onUnreachable(const TargetIncarnation& _target);

	bool isCutOff() const
	{
		return reachability_.isCutOff();
	}

private:
	std::vector<RunnerRecord> targets() const;
	void onChanged();
	void probeSome();
	void probeOne(const std::vector<RunnerRecord>& _targets);
	void scheduleProbe();

	boost::asio::io_context& loop_;
	const ClockI& clock_;
	FleetCell& cell_;
	RandomI& random_;
	Metrics& metrics_;
	Timer timer_;
	TargetReachability reachability_;
};

} // namespace sedgecart

#endif // SEDGECART_LOADS_REACHABILITYMONITOR_H_HEADER_GUARD

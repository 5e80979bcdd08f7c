// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <loads/reachabilitymonitor.h>

#include <aio/connectprobe.h>
#include <logging/logging.h>

#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <chrono>
#include <iterator>

namespace sedgecart
{

namespace
{

/// Timeout of a connection: many times the delay between data halls, and shorter than the retransmission of a lost SYN.
constexpr Duration kConnectTimeout = Duration::fromMillis(150);

/// Interval between probes while this node is cut off.
constexpr Duration kProbeInterval = Duration::fromMillis(200);

} // namespace

ReachabilityMonitor::ReachabilityMonitor(boost::asio::io_context& _loop, const ClockI& _clock, FleetCell& _cell,
                                         RandomI& _random, Metrics& _metrics)
    : loop_(_loop),
      clock_(_clock),
      cell_(_cell),
      random_(_random),
      metrics_(_metrics),
      timer_(_loop)
{
}

std::vector<RunnerRecord> ReachabilityMonitor::targets() const
{
	std::vector<RunnerRecord> found;
	const RcuCell<FleetView>::Reader view(cell_.view);
	for (const auto& service : view->services)
	{
		for (const FleetTarget& target : service.second->targets)
		{
			found.push_back(target.record);
		}
	}
	return found;
}

void ReachabilityMonitor::onConnected(const TargetIncarnation& _target)
{
	if (reachability_.onConnected(_target, clock_.now()))
	{
		onChanged();
	}
}

void ReachabilityMonitor::onUnreachable(const TargetIncarnation& _target)
{
	reachability_.setFleetSize(targets().size());
	if (reachability_.onUnreachable(_target, clock_.now()))
	{
		onChanged();
	}
}

void ReachabilityMonitor::onChanged()
{
	const bool isCutOff = reachability_.isCutOff();
	cell_.isCutOff.store(isCutOff, std::memory_order_relaxed);
	if (!isCutOff)
	{
		timer_.cancel();
		logEvent(LogPart::Targets, LogLevel::Warning, "Targets can be reached again.", {});
		return;
	}
	metrics_.add(Counter::CutOffs);
	logEvent(LogPart::Targets, LogLevel::Warning, "No target can be reached from this node.", {});
	probeSome();
}

/// Probes enough targets to revise the decision at once if it is wrong.
void ReachabilityMonitor::probeSome()
{
	const std::vector<RunnerRecord> all = targets();
	for (std::size_t probe = 0; probe < TargetReachability::kMinTargets && !all.empty(); ++probe)
	{
		probeOne(all);
	}
	scheduleProbe();
}

/// Prefers targets that have not failed lately: several may have crashed while the others run. After a success the next
/// target is probed at once, so that the return of the link is noticed without a pause.
void ReachabilityMonitor::probeOne(const std::vector<RunnerRecord>& _targets)
{
	std::vector<RunnerRecord> untried;
	std::copy_if(_targets.begin(), _targets.end(), std::back_inserter(untried),
	             [this](const RunnerRecord& _target)
	             {
		             return !reachability_.isUnreachable(_target.incarnation());
	             });
	const std::vector<RunnerRecord>& candidates = untried.empty() ? _targets : untried;
	const RunnerRecord& record = candidates[random_.below(static_cast<uint32_t>(candidates.size()))];
	probeConnect(loop_, record.address, kConnectTimeout,
	             [this, target = record.incarnation()](bool _connected)
	             {
		             if (!_connected)
		             {
			             onUnreachable(target);
			             return;
		             }
		             onConnected(target);
		             const std::vector<RunnerRecord> all = targets();
		             if (reachability_.isCutOff() && !all.empty())
		             {
			             probeOne(all);
		             }
	             });
}

void ReachabilityMonitor::scheduleProbe()
{
	timer_.expires_after(std::chrono::microseconds(kProbeInterval.micros));
	timer_.async_wait(
	    [this](const boost::system::error_code& _error)
	    {
		    if (_error || !reachability_.isCutOff())
		    {
			    return;
		    }
		    const std::vector<RunnerRecord> all = targets();
		    if (!all.empty())
		    {
			    probeOne(all);
		    }
		    scheduleProbe();
	    });
}

} // namespace sedgecart

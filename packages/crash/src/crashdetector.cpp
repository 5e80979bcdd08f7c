// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <crash/crashdetector.h>

#include <aio/timer.h>
#include <fleet/restartdetection.h>

#include <algorithm>
#include <chrono>
#include <memory>

namespace sedgecart
{

namespace
{

/// Timeout of a probe: a refused connection is reported within a millisecond, and a probe that times out because of a
/// lost packet or a busy target is repeated.
constexpr Duration kProbeTimeout = Duration::fromMillis(150);

/// Delay between two probes, and their maximum number. A target that is cut off does not answer for as long as it is
/// cut off, and then whether it crashed remains unknown. Two seconds cover a target that takes long to terminate.
constexpr Duration kProbeRetryDelay = Duration::fromMillis(250);
constexpr uint32_t kMaxProbes = 6;

/// Time within which a node whose connections are all refused finds out that it is cut off: the connections of its
/// requests fail at the same moment.
constexpr Duration kRefusalSettleTime = Duration::fromMillis(10);

/// Maximum number of runs that are remembered as counted; a probe is finished within seconds.
constexpr std::size_t kMaxCountedRuns = 8192;

/// Maximum number of targets that are probed at once; more than these crash together only if a data hall fails.
constexpr std::size_t kMaxPendingProbes = 256;

} // namespace

CrashDetector::CrashDetector(boost::asio::io_context& _loop, const ClockI& _clock, RunnerOrdersI& _orders,
                             const FleetCell& _cell, CrashListenerI& _sink)
    : loop_(_loop),
      clock_(_clock),
      orders_(_orders),
      cell_(_cell),
      listener_(_sink)
{
}

/// @returns true if the target's registry record is still current and not marked as draining. A draining target shuts
/// down in order.
bool CrashDetector::isCurrent(const FleetTarget& _target) const
{
	const RcuCell<FleetView>::Reader view(cell_.view);
	const auto service = view->services.find(_target.record.service);
	if (view->services.end() == service || !service->second)
	{
		return false;
	}
	const std::vector<FleetTarget>& targets = service->second->targets;
	return std::any_of(targets.begin(), targets.end(),
	                   [&_target](const FleetTarget& _one)
	                   {
		                   return _one.load == _target.load && !_one.record.draining;
	                   });
}

void CrashDetector::onRunLost(const RequestIdentity& _request, const std::vector<RequestIdentity>& _parts,
                              uint64_t _run, ResponseProgress _progress, const FleetTarget& _target)
{
	if (!enabled_)
	{
		return;
	}
	const TargetIncarnation incarnation = _target.record.incarnation();
	LostRunsOfProbe lost{{_request, LostRun{_run, _progress}}};
	for (const RequestIdentity& part : 0 == _progress.events ? _parts : std::vector<RequestIdentity>())
	{
		lost.emplace(part, LostRun{_run, _progress});
	}
	const auto open = probes_.find(incarnation);
	if (probes_.end() != open)
	{
		open->second.lostRuns.insert(lost.begin(), lost.end());
		return;
	}
	const bool isRunning =
	    !_target.load->ended.load(std::memory_order_relaxed); // if it ended, the registry may show its next incarnation
	if (kMaxPendingProbes <= probes_.size() || (isRunning && !isCurrent(_target)))
	{
		return;
	}
	probes_[incarnation] = PendingProbe{_target, std::move(lost), 0};
	sendProbe(incarnation);
}

void CrashDetector::sendProbe(const TargetIncarnation& _incarnation)
{
	PendingProbe& pending = probes_.at(_incarnation);
	++pending.attempts;
	orders_.probe(pending.target.record.address, kProbeTimeout,
	              [this, _incarnation](const ProbeAnswer& _answer)
	              {
		              onProbeAnswer(_incarnation, _answer);
	              });
}

void CrashDetector::scheduleProbe(const TargetIncarnation& _incarnation)
{
	const auto timer = std::make_shared<Timer>(loop_, std::chrono::microseconds(kProbeRetryDelay.micros));
	timer->async_wait(
	    [this, timer, _incarnation](const boost::system::error_code& _error)
	    {
		    if (!_error)
		    {
			    sendProbe(_incarnation);
		    }
	    });
}

void CrashDetector::onProbeAnswer(const TargetIncarnation& _incarnation, const ProbeAnswer& _answer)
{
	const PendingProbe& pending = probes_.at(_incarnation);
	const bool restarted = _answer.answered && detectRestart(_incarnation, _answer, *pending.target.load);
	const bool ended = restarted || pending.target.load->ended.load(std::memory_order_relaxed);
	if (_answer.refused && !ended)
	{
		scheduleVerdict(_incarnation);
		return;
	}
	if (ended || _answer.answered || kMaxProbes <= pending.attempts)
	{
		finishProbe(_incarnation, ended);
		return;
	}
	scheduleProbe(_incarnation);
}

/// A refusal says nothing about the target if this node is cut off from all targets, which it finds out by refusals
/// too.
void CrashDetector::scheduleVerdict(const TargetIncarnation& _incarnation)
{
	const auto timer = std::make_shared<Timer>(loop_, std::chrono::microseconds(kRefusalSettleTime.micros));
	timer->async_wait(
	    [this, timer, _incarnation](const boost::system::error_code& _error)
	    {
		    if (_error)
		    {
			    return;
		    }
		    const bool isCutOff = cell_.isCutOff.load(std::memory_order_relaxed);
		    if (isCutOff && probes_.at(_incarnation).attempts < kMaxProbes)
		    {
			    scheduleProbe(_incarnation);
			    return;
		    }
		    finishProbe(_incarnation, !isCutOff);
	    });
}

void CrashDetector::finishProbe(const TargetIncarnation& _incarnation, bool _ended)
{
	const auto row = probes_.find(_incarnation);
	const PendingProbe finished = std::move(row->second);
	probes_.erase(row);
	if (!_ended)
	{
		return;
	}
	const Time now = clock_.now();
	LostRuns runs;
	for (const auto& lost : finished.lostRuns)
	{
		if (!isCleared(lost.first, now) && markCounted(lost.second.run, lost.first))
		{
			runs.emplace(lost.first, lost.second.progress);
		}
	}
	if (!runs.empty())
	{
		listener_.onCrash(runs, _incarnation);
	}
}

/// Counts each run only once, even if several of its targets crash together: otherwise three stages of one path that
/// restart together would block a request that has run only once.
/// @returns true if the run has not been counted before.
bool CrashDetector::markCounted(uint64_t _run, const RequestIdentity& _request)
{
	if (kMaxCountedRuns <= countedRuns_.size())
	{
		countedRuns_.erase(countedRuns_.begin());
	}
	return countedRuns_.emplace(_run, _request).second;
}

void CrashDetector::onAnswered(const RequestIdentity& _request)
{
	if (!enabled_)
	{
		return;
	}
	answered_.record(_request, clock_.now());
	if (isListed(_request))
	{
		listener_.onAnswered(_request);
	}
}

void CrashDetector::onBegun(const std::vector<RequestIdentity>& _parts)
{
	for (const RequestIdentity& part : enabled_ ? _parts : std::vector<RequestIdentity>())
	{
		begunParts_.record(part, clock_.now());
		if (isListed(part))
		{
			listener_.onAnswered(part);
		}
	}
}

/// A part is remembered for longer than a request: it is shared, and a response that has begun shows for good that it
/// does not crash targets at that point.
bool CrashDetector::isCleared(const RequestIdentity& _request, Time _now) const
{
	return _request.isPromptPart() ? begunParts_.recordedWithin(_request, CrashLedger::kCrashLifetime, _now)
	                               : answered_.recordedWithin(_request, CrashLedger::kClearingPeriod, _now);
}

std::optional<Duration> CrashDetector::blockedFor(const RequestIdentity& _request,
                                                  const std::vector<RequestIdentity>& _parts) const
{
	std::optional<Duration> longest = blockedFor(_request);
	for (const RequestIdentity& part : _parts)
	{
		longest = std::max(longest, blockedFor(part));
	}
	return longest;
}

std::optional<Duration> CrashDetector::blockedFor(const RequestIdentity& _request) const
{
	const RcuCell<SuspectTable>::Reader table(cell_.suspects);
	const auto row = table->rows.find(_request);
	if (!enabled_ || table->rows.end() == row)
	{
		return std::nullopt;
	}
	const Time now = clock_.now();
	const bool isHeld = _request.isPromptPart() && !row->second.blocked && !isCleared(_request, now);
	const Time until = isHeld ? row->second.heldUntil : row->second.blockedUntil;
	const bool holds = (isHeld || row->second.blocked) && now < until;
	return holds ? std::optional<Duration>(until - now) : std::nullopt;
}

bool CrashDetector::isSuspected(const RequestIdentity& _request, const std::vector<RequestIdentity>& _parts) const
{
	return isListed(_request) || std::any_of(_parts.begin(), _parts.end(),
	                                         [this](const RequestIdentity& _part)
	                                         {
		                                         return isListed(_part);
	                                         });
}

bool CrashDetector::isListed(const RequestIdentity& _request) const
{
	const RcuCell<SuspectTable>::Reader table(cell_.suspects);
	return enabled_ && 0 < table->rows.count(_request);
}

void CrashDetector::reportRecentAnswers()
{
	std::vector<RequestIdentity> found;
	{
		const Time now = clock_.now();
		const RcuCell<SuspectTable>::Reader table(cell_.suspects);
		for (const auto& row : table->rows)
		{
			if (isCleared(row.first, now))
			{
				found.push_back(row.first);
			}
		}
	}
	for (const RequestIdentity& request : found)
	{
		listener_.onAnswered(request);
	}
}

} // namespace sedgecart

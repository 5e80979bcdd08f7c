// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <loads/pathwatch.h>

#include <core/targetreachability.h>
#include <fleet/restartdetection.h>
#include <loads/reachabilitymonitor.h>
#include <logging/logging.h>
#include <metrics/metrics.h>

#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace sedgecart
{

namespace
{

/// Interval between two checks of the paths.
constexpr Duration kCheckInterval = Duration::fromMillis(8);

/// Minimum silence after an event that triggers probes: events of a healthy path are 15 to 25 ms apart, and a pause of
/// 200 ms makes a stream late. An unnecessary probe costs a hundred thousandth of a request.
constexpr Duration kMinSilence = Duration::fromMillis(42);

/// If events are further apart, because of load or longer chains, this number of usual gaps triggers probes, up to a
/// maximum silence that leaves time to recover within the allowed pause of a stream (200 ms).
constexpr double kSilentGaps = 2.5;
constexpr Duration kMaxSilence = Duration::fromMillis(140);

/// Weight of one gap in the moving average: it covers some hundred events, which a node receives in about a second.
constexpr double kGapWeight = 0.01;

/// Silence before the first event that triggers probes: the 99th percentile of a first event is 140 ms, and 500 ms
/// makes it late.
constexpr Duration kFirstSilence = Duration::fromMillis(200);

/// Timeout of a probe. A target answers within some milliseconds; the rest allows for a weak node: with 16 ms, nodes of
/// 0.12 cores took 25 healthy targets as dead in three seconds without a fault.
constexpr Duration kProbeTimeout = Duration::fromMillis(30);

/// Minimum interval between two probes of a target; doubled after each answer that did not resolve the silence, up to
/// the maximum.
constexpr Duration kProbePause = Duration::fromMillis(300);
constexpr Duration kMaxProbePause = Duration::fromMillis(2400);

/// A target that did not answer is not probed again within this time.
constexpr Duration kSilentPause = Duration::fromMillis(1500);

/// How long a dead target is avoided: its record is removed from the registry within this time.
constexpr Duration kAvoidDead = Duration::fromMillis(4500);

/// How long a target is avoided on weak evidence: if none of several targets answered, this node may be at fault, and
/// must soon stop avoiding them all.
constexpr Duration kAvoidDoubtful = Duration::fromMillis(600);

/// Share of a probe's timeout during which this node must have been awake for the missing answer to count; the rest
/// allows for checks that are not exactly on time.
constexpr double kAwakeShare = 0.8;

/// Number of simultaneous probes of a target in another hall: links between halls may lose a packet, and a lost first
/// packet is retransmitted only after a second.
constexpr uint32_t kRemoteProbes = 2;

bool contains(const std::vector<const FleetTarget*>& _targets, const FleetTarget& _target)
{
	return std::any_of(_targets.begin(), _targets.end(),
	                   [&_target](const FleetTarget* _element)
	                   {
		                   return _element->load == _target.load;
	                   });
}

bool isReportedDead(const FleetTarget& _target)
{
	return kSureSuspicion <= _target.load->remoteSuspicion.load(std::memory_order_relaxed);
}

/// @returns true if the work of a target is known to be lost for another reason than its silence, and paths were not
/// notified recently.
bool isReportedLost(const FleetTarget& _target, Time _now)
{
	const bool notified = _now.micros < _target.load->avoidedUntil.load(std::memory_order_relaxed);
	return !notified && (isReportedDead(_target) || _target.isOutdated(_now));
}

} // namespace

PathWatch::PathWatch(boost::asio::io_context& _loop, const ClockI& _clock, RunnerOrdersI& _orders, Metrics& _metrics)
    : timer_(_loop),
      clock_(_clock),
      orders_(_orders),
      metrics_(_metrics),
      awake_(kCheckInterval)
{
}

void PathWatch::add(const std::shared_ptr<WatchedPathI>& _path)
{
	paths_.push_back(_path);
	if (!ticking_)
	{
		awake_.reset();
	}
	start();
}

void PathWatch::start()
{
	if (ticking_)
	{
		return;
	}
	ticking_ = true;
	timer_.expires_after(std::chrono::microseconds(kCheckInterval.micros));
	timer_.async_wait(
	    [this](const boost::system::error_code& _error)
	    {
		    ticking_ = false;
		    if (!_error)
		    {
			    tick();
		    }
	    });
}

std::vector<std::shared_ptr<WatchedPathI>> PathWatch::livePaths()
{
	std::vector<std::shared_ptr<WatchedPathI>> found;
	const auto ended = [&found](const std::weak_ptr<WatchedPathI>& _weak)
	{
		const std::shared_ptr<WatchedPathI> path = _weak.lock();
		if (path)
		{
			found.push_back(path);
		}
		return !path;
	};
	paths_.erase(std::remove_if(paths_.begin(), paths_.end(), ended), paths_.end());
	return found;
}

void PathWatch::tick()
{
	const std::vector<std::shared_ptr<WatchedPathI>> paths = livePaths();
	if (paths.empty())
	{
		awake_.reset(); // the next check is not due until there is a path again
		return;
	}
	const Time now = clock_.now();
	awake_.tick(now);
	leaveReportedDead(paths, now);
	probeSilentPaths(paths, now);
	start();
}

/// Makes paths leave targets that other nodes report as dead for certain, so that a node that is too weak to detect it
/// learns of it too, and targets that have restarted or refuse their stage.
void PathWatch::leaveReportedDead(const std::vector<std::shared_ptr<WatchedPathI>>& _paths, Time _now)
{
	std::vector<FleetTarget> left;
	const Time recent{_now.micros -
	                  silenceTimeout().micros}; // what this node receives itself overrides reports of others
	for (const auto& path : _paths)
	{
		for (const FleetTarget* const target : path->pathTargets())
		{
			if (isReportedLost(*target, _now) && !hasEventThrough(*target, recent))
			{
				avoid(*target, isReportedDead(*target) ? kAvoidDead : kAvoidDoubtful);
				left.push_back(*target);
			}
		}
	}
	for (const FleetTarget& target : left)
	{
		const bool dead = isReportedDead(target);
		notifyPaths(target, dead ? "other nodes found it dead" : "it does not hold its layers any more", recent);
	}
}

bool PathWatch::isSilent(const WatchedPathI& _path, Time _now) const
{
	const Duration bound = _path.begun() ? silenceTimeout() : kFirstSilence;
	return bound < awake_.awakeSince(_path.lastProgress(), _now);
}

bool PathWatch::isProgressing(const WatchedPathI& _path) const
{
	return _path.begun() && !isSilent(_path, clock_.now());
}

/// @returns true if an event of some path has arrived since a time: this node receives.
bool PathWatch::hasEventSince(Time _moment)
{
	const std::vector<std::shared_ptr<WatchedPathI>> paths = livePaths();
	return std::any_of(paths.begin(), paths.end(),
	                   [_moment](const std::shared_ptr<WatchedPathI>& _path)
	                   {
		                   return _path->begun() && _moment < _path->lastProgress();
	                   });
}

/// @returns true if an event of a path through a target has arrived since a time: the target is alive.
bool PathWatch::hasEventThrough(const FleetTarget& _target, Time _since)
{
	const std::vector<std::shared_ptr<WatchedPathI>> paths = livePaths();
	return std::any_of(paths.begin(), paths.end(),
	                   [&_target, _since](const std::shared_ptr<WatchedPathI>& _path)
	                   {
		                   return _path->begun() && _since < _path->lastProgress() &&
		                          contains(_path->confirmedTargets(), _target);
	                   });
}

Duration PathWatch::extendedWait(Duration _usual) const
{
	return Duration{static_cast<int64_t>(static_cast<double>(_usual.micros) * awake_.slowdown())};
}

Duration PathWatch::silenceTimeout() const
{
	const Duration usual{static_cast<int64_t>(usualGap_ * kSilentGaps)};
	return std::min(kMaxSilence, std::max(kMinSilence, usual));
}

void PathWatch::recordGap(Duration _gap)
{
	usualGap_ += (static_cast<double>(_gap.micros) - usualGap_) * kGapWeight;
}

/// Probes the targets of silent paths.
/// @param _now the time passed to `awake_`, from which the probes' awake time is measured.
void PathWatch::probeSilentPaths(const std::vector<std::shared_ptr<WatchedPathI>>& _paths, Time _now)
{
	std::map<const TargetLoad*, Time> seen;
	bool anySilent = false;
	for (const auto& path : _paths)
	{
		anySilent = anySilent || isSilent(*path, _now);
		for (const FleetTarget* const target : path->confirmedTargets())
		{
			Time& last = seen.emplace(target->load.get(), Time{}).first->second;
			last = path->begun() && last < path->lastProgress() ? path->lastProgress() : last;
			const int64_t until = target->load->suspectedUntil.load(std::memory_order_relaxed);
			if (until - kAvoidDead.micros < last.micros)
			{
				withdrawSuspicion(*target); // an event passed through it since it was suspected
			}
		}
	}
	if (!anySilent)
	{
		return;
	}
	const auto round = std::make_shared<ProbeRound>();
	round->at = _now;
	for (const auto& path : _paths)
	{
		if (!isSilent(*path, _now))
		{
			continue;
		}
		for (const FleetTarget* const target : path->pathTargets())
		{
			if (silenceTimeout() < awake_.awakeSince(seen[target->load.get()], _now))
			{
				probeTarget(*target, _now, round);
			}
		}
	}
}

void PathWatch::probeTarget(const FleetTarget& _target, Time _now, const std::shared_ptr<ProbeRound>& _round)
{
	ProbeState& state = probeStates_[_target.record.incarnation()];
	if (_now < state.notBefore || 0 < state.open)
	{
		return;
	}
	const bool repeated = 0 < state.pause.micros && _now < state.notBefore + kMaxProbePause;
	const Duration pause = repeated ? std::min(kMaxProbePause, state.pause + state.pause) : kProbePause;
	state = ProbeState{_now + pause, pause, kHomeHall == _target.hall ? 1 : kRemoteProbes, false};
	++_round->probed;
	++_round->open;
	const FleetTarget target = _target;
	const Duration bound = extendedWait(kProbeTimeout);
	for (uint32_t probe = state.open; 0 < probe; --probe)
	{
		orders_.probe(target.record.address, bound,
		              [this, target, _round](const ProbeAnswer& _answer)
		              {
			              onProbeAnswer(target, *_round, _answer);
		              });
	}
}

void PathWatch::onProbeAnswer(const FleetTarget& _target, ProbeRound& _round, const ProbeAnswer& _answer)
{
	ProbeState& state = probeStates_[_target.record.incarnation()];
	state.open -= 0 < state.open ? 1 : 0;
	const bool ended =
	    detectRestart(_target.record.incarnation(), _answer, *_target.load); // paths leave it at one of the next checks
	_round.answered += !state.answered && _answer.isAlive() ? 1 : 0;
	state.answered = state.answered || _answer.isAlive();
	if (_answer.isAlive() && !ended)
	{
		withdrawSuspicion(_target);
	}
	if (0 == state.open)
	{
		onProbesSettled(_target, _round, _answer);
	}
	onStalled(_answer.stalled);
}

/// Called when all probes of a target have been answered or have timed out.
void PathWatch::onProbesSettled(const FleetTarget& _target, ProbeRound& _round, const ProbeAnswer& _answer)
{
	ProbeState& state = probeStates_[_target.record.incarnation()];
	const Time now = clock_.now();
	_round.open -= 0 < _round.open ? 1 : 0;
	if (state.answered)
	{
		finishRound(_round);
		return;
	}
	const double needed = kAwakeShare * static_cast<double>(kProbeTimeout.micros) * _answer.attempts;
	if (_answer.refused)
	{
		state.notBefore = now + kSilentPause;
		_round.refused.push_back(_target);
	}
	else if (_answer.notSent)
	{
		// The probe was not sent, which says nothing about the target; it is probed again after the usual pause.
	}
	else if (static_cast<double>(awake_.awakeSince(_round.at, now).micros) < needed)
	{
		state.notBefore = now + extendedWait(kProbeTimeout); // this node was late: an answer may have been pending
	}
	else
	{
		state.notBefore = now + kSilentPause;
		_round.silent.push_back(_target);
	}
	finishRound(_round);
}

void PathWatch::onNobodyListens(const FleetTarget& _target, Time _since)
{
	const bool isCutOff = nullptr != reachability_ && reachability_->isCutOff();
	if (!isCutOff)
	{
		suspect(_target, kSureSuspicion);
	}
	avoid(_target, isCutOff ? kAvoidDoubtful : kAvoidDead);
	notifyPaths(_target, isCutOff ? "this node reaches no target" : "nobody listens", _since);
}

/// Makes paths leave the targets that did not answer, once the last probe of a round is settled. A refusal is evidence
/// about a target as soon as another target has answered or the round has few targets: if all of many are unreachable,
/// the link of this node is at fault.
void PathWatch::finishRound(ProbeRound& _round)
{
	const bool receives = 0 < _round.answered || hasEventSince(_round.at);
	if (receives || _round.probed < TargetReachability::kMinTargets)
	{
		for (const FleetTarget& target : std::exchange(_round.refused, {}))
		{
			onNobodyListens(target, _round.at);
		}
	}
	if (0 < _round.open)
	{
		return;
	}
	_round.silent.insert(_round.silent.end(), _round.refused.begin(), _round.refused.end());
	std::vector<FleetTarget> dead;
	for (const FleetTarget& target : _round.silent)
	{
		// An event that passed through it since it was probed shows that it is alive.
		if (hasEventThrough(target, _round.at))
		{
			continue;
		}
		dead.push_back(target);
		avoid(target, receives ? kAvoidDead : kAvoidDoubtful);
		if (receives)
		{
			suspect(target, kWeakSuspicion);
		}
		else if (nullptr != reachability_)
		{
			reachability_->onUnreachable(target.record.incarnation());
		}
	}
	for (const FleetTarget& target : dead)
	{
		notifyPaths(target, "no answer", _round.at);
	}
}

void PathWatch::onStalled(const std::vector<std::string>& _addresses)
{
	for (const std::string& address : _addresses)
	{
		for (const auto& path : livePaths())
		{
			for (const FleetTarget* const target : path->pathTargets())
			{
				if (address == target->record.address)
				{
					const FleetTarget stalled = *target; // a notified path may end, and with it the target that it owns
					onStalled(stalled);
					return;
				}
			}
		}
	}
}

/// Handles the report of a neighbour, which is some hundred milliseconds old: events that this node has received since
/// override it.
void PathWatch::onStalled(const FleetTarget& _target)
{
	const Time recent{clock_.now().micros - silenceTimeout().micros};
	if (!hasEventThrough(_target, recent))
	{
		avoid(_target, kAvoidDoubtful);
		notifyPaths(_target, "a neighbour waits for it", recent);
	}
}

void PathWatch::avoid(const FleetTarget& _target, Duration _span)
{
	metrics_.add(Counter::DeadTargets);
	_target.load->avoidedUntil.store((clock_.now() + _span).micros, std::memory_order_relaxed);
}

/// Records a suspicion. It is reported to other nodes, and the layout reacts once it is certain.
void PathWatch::suspect(const FleetTarget& _target, uint32_t _suspicion)
{
	_target.load->suspicion.store(_suspicion, std::memory_order_relaxed);
	_target.load->suspectedUntil.store((clock_.now() + kAvoidDead).micros, std::memory_order_relaxed);
}

/// Withdraws what this node alone suspected, since the target has shown to be alive. The suspicion that no process
/// listens there remains.
void PathWatch::withdrawSuspicion(const FleetTarget& _target)
{
	if (kWeakSuspicion == _target.load->ownSuspicion(clock_.now()))
	{
		_target.load->suspectedUntil.store(0, std::memory_order_relaxed);
		_target.load->avoidedUntil.store(0, std::memory_order_relaxed);
	}
}

/// Notifies the paths through a target.
/// @param _since a path with an event since this time has shown that its targets are alive, and is not notified.
void PathWatch::notifyPaths(const FleetTarget& _target, const char* _cause, Time _since)
{
	uint32_t users = 0;
	for (const auto& path : livePaths())
	{
		const bool progressed = path->begun() && _since < path->lastProgress();
		if (!progressed && contains(path->pathTargets(), _target))
		{
			++users;
			path->onTargetDead(_target);
		}
	}
	constexpr double kPercent = 100;
	const Time avoided{_target.load->avoidedUntil.load(std::memory_order_relaxed)};
	logEvent(LogPart::Targets, LogLevel::Warning, "Target is taken as dead.",
	         {{"target", _target.record.instance.text},
	          {"cause", _cause},
	          {"sure", _target.load->isDead(clock_.now()) ? "true" : "false"},
	          {"hall", _target.record.hall},
	          {"avoid_ms", std::to_string((avoided - clock_.now()).millis())},
	          {"node_awake_percent", std::to_string(static_cast<int>(kPercent / awake_.slowdown()))},
	          {"requests", std::to_string(users)}});
}

} // namespace sedgecart

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_LOADS_PATHWATCH_H_HEADER_GUARD
#define SEDGECART_LOADS_PATHWATCH_H_HEADER_GUARD

#include <aio/timer.h>
#include <base/clock.h>
#include <core/awaketime.h>
#include <fleet/fleetview.h>
#include <ports/runnerorders.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace boost::asio
{
class io_context;
} // namespace boost::asio

namespace sedgecart
{

class Metrics;
class ReachabilityMonitor;

/// A request that runs on a path of targets.
class WatchedPathI
{
public:
	virtual ~WatchedPathI() = default;

	/// @returns the targets of the request's path; empty while it has none.
	virtual std::vector<const FleetTarget*> pathTargets() const = 0;

	/// @returns those targets of the path that its events pass through for certain.
	virtual std::vector<const FleetTarget*> confirmedTargets() const
	{
		return pathTargets();
	}

	/// @returns when the last event arrived or, before the first, when the request was sent.
	virtual Time lastProgress() const = 0;

	/// @returns true once the first event has arrived.
	virtual bool begun() const = 0;

	/// Called when a target of the path does not answer, or when its neighbours wait for it. It may be alive
	/// nevertheless.
	/// @param _target a copy that does not belong to the path: it stays valid while the path changes.
	virtual void onTargetDead(const FleetTarget& _target) = 0;
};

/// Detects which target is at fault when paths become silent, long before the targets themselves abandon a request. A
/// target through which an event of some request has just passed is alive; the other targets of a silent path are
/// probed, and those that do not answer are taken as dead. Time counts only as far as this node was awake: a node that
/// lacks CPU time, for example while it reads a large desired state, receives answers late and must not blame the
/// targets. Loop thread only.
class PathWatch
{
public:
	PathWatch(boost::asio::io_context& _loop, const ClockI& _clock, RunnerOrdersI& _orders, Metrics& _metrics);

	/// Sets the monitor that is told of targets that did not answer while no other one did either, and that knows
	/// whether this node is cut off. It must outlive this object.
	void setReachability(ReachabilityMonitor& _monitor)
	{
		reachability_ = &_monitor;
	}

	void add(const std::shared_ptr<WatchedPathI>& _path);

	/// Starts the timer. Paths that have ended are dropped automatically.
	void start();

	/// Records an interval between two events of a path, from which the usual interval is estimated.
	void recordGap(Duration _gap);

	/// @returns a wait that takes `_usual` on a node that is never late, extended by the time that this node is not
	/// awake.
	Duration extendedWait(Duration _usual) const;

	/// @returns true if events of a path arrive as usual at this time, whatever was suspected of it before.
	bool isProgressing(const WatchedPathI& _path) const;

	/// Checks all paths once; the timer repeats this while there are any.
	void tick();

private:
	/// State of a target that was probed.
	struct ProbeState
	{
		Time notBefore;    //!< Earliest time of the next probe.
		Duration pause;    //!< Minimum interval before the next probe.
		uint32_t open = 0; //!< Probes without an answer yet.
		bool answered = false;
	};

	/// Targets that were probed at the same time.
	struct ProbeRound
	{
		Time at;
		uint32_t probed = 0;
		uint32_t answered = 0;
		uint32_t open = 0;                //!< Targets with unsettled probes.
		std::vector<FleetTarget> silent;  //!< Settled without an answer.
		std::vector<FleetTarget> refused; //!< Nobody listens there, or this node reaches nobody.
	};

	void probeSilentPaths(const std::vector<std::shared_ptr<WatchedPathI>>& _paths, Time _now);
	void leaveReportedDead(const std::vector<std::shared_ptr<WatchedPathI>>& _paths, Time _now);
	bool isSilent(const WatchedPathI& _path, Time _now) const;
	bool hasEventSince(Time _moment);
	bool hasEventThrough(const FleetTarget& _target, Time _since);
	void withdrawSuspicion(const FleetTarget& _target);
	Duration silenceTimeout() const;
	void probeTarget(const FleetTarget& _target, Time _now, const std::shared_ptr<ProbeRound>& _round);
	void onProbeAnswer(const FleetTarget& _target, ProbeRound& _round, const ProbeAnswer& _answer);
	void onProbesSettled(const FleetTarget& _target, ProbeRound& _round, const ProbeAnswer& _answer);
	void onStalled(const std::vector<std::string>& _addresses);
	void onStalled(const FleetTarget& _target);
	void finishRound(ProbeRound& _round);
	void onNobodyListens(const FleetTarget& _target, Time _since);
	void avoid(const FleetTarget& _target, Duration _span);
	void suspect(const FleetTarget& _target, uint32_t _suspicion);
	void notifyPaths(const FleetTarget& _target, const char* _cause, Time _since);
	std::vector<std::shared_ptr<WatchedPathI>> livePaths();

	Timer timer_;
	const ClockI& clock_;
	RunnerOrdersI& orders_;
	Metrics& metrics_;
	std::vector<std::weak_ptr<WatchedPathI>> paths_;
	std::map<TargetIncarnation, ProbeState> probeStates_;
	ReachabilityMonitor* reachability_ = nullptr; //!< Null in tests.
	AwakeTime awake_;                             //!< Measured by the checks of the paths.
	double usualGap_ = 22000; //!< Recent interval between two events, microseconds; initially that of small sites.
	bool ticking_ = false;
};

} // namespace sedgecart

#endif // SEDGECART_LOADS_PATHWATCH_H_HEADER_GUARD

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

/// A request that runs on a path of targets.
class WatchedPathI
{
public:
	virtual ~WatchedPathI() = default;

	/// @returns the targets of its path; empty while it has none.
	virtual std::vector<const FleetTarget*> pathTargets() const = 0;

	/// @returns those of its targets that its events come over for certain.
	virtual std::vector<const FleetTarget*> sureTargets() const
	{
		return pathTargets();
	}

	/// @returns when its last event came, or when it was sent.
	virtual Time lastProgress() const = 0;

	/// @returns true once its first event has come.
	virtual bool begun() const = 0;

	/// A target of its path does not answer, or its neighbours wait for it. It may live all the same.
	/// @param _target not of the path's own: it holds while the path changes.
	virtual void onTargetDead(const FleetTarget& _target) = 0;
};

/// Finds the target to blame when paths fall silent, long before the targets themselves give a request up. A target
/// that some request moved over a moment ago lives; of a silent path the others are asked, and who does not answer is
/// dead. Time counts for all this only as far as this node was awake: one that lacks the processor, say while it reads
/// a large desired state, hears answers late and must not blame others. Loop thread only.
class PathWatch
{
public:
	PathWatch(boost::asio::io_context& _loop, const ClockI& _clock, RunnerOrdersI& _orders, Metrics& _metrics);

	void add(const std::shared_ptr<WatchedPathI>& _path);

	/// Paths that ended are dropped by themselves.
	void start();

	/// Learns how far apart events usually come.
	void noteGap(Duration _gap);

	/// @returns how long to wait here for what takes so long at a node that is never late.
	Duration stretched(Duration _usual) const;

	/// @returns true if a path brings its events by now as a sound one does, whatever was suspected of it before.
	bool goesOn(const WatchedPathI& _path) const;

	/// Looks once at all paths; its timer does so again and again while there are any.
	void tick();

private:
	/// What is known of a target that was asked.
	struct Asked
	{
		Time notBefore;    //!< It is not asked again until then.
		Duration pause;    //!< Between its last two questions.
		uint32_t open = 0; //!< Questions without an answer yet.
		bool answered = false;
	};

	/// Targets that were asked at the same moment.
	struct Round
	{
		Time at;
		uint32_t asked = 0;
		uint32_t answered = 0;
		uint32_t open = 0;               //!< Targets whose questions are not all settled.
		std::vector<FleetTarget> silent; //!< Settled without a sign of life.
	};

	void look(const std::vector<std::shared_ptr<WatchedPathI>>& _paths, Time _now);
	void leaveToldDead(const std::vector<std::shared_ptr<WatchedPathI>>& _paths, Time _now);
	bool isSilent(const WatchedPathI& _path, Time _now) const;
	bool hasHeardSince(Time _moment);
	bool hasHeardOver(const FleetTarget& _target, Time _since);
	void withdraw(const FleetTarget& _target);
	Duration silence() const;
	void ask(const FleetTarget& _target, Time _now, const std::shared_ptr<Round>& _round);
	void onAnswer(const FleetTarget& _target, Round& _round, const ProbeAnswer& _answer);
	void onSettled(const FleetTarget& _target, Round& _round, const ProbeAnswer& _answer);
	void onStalled(const std::vector<std::string>& _addresses);
	void onStalled(const FleetTarget& _target);
	void closeRound(const Round& _round);
	void passOver(const FleetTarget& _target, Duration _span);
	void suspect(const FleetTarget& _target, uint32_t _suspicion);
	void tellPaths(const FleetTarget& _target, const char* _cause, Time _since);
	std::vector<std::shared_ptr<WatchedPathI>> live();

	Timer timer_;
	const ClockI& clock_;
	RunnerOrdersI& orders_;
	Metrics& metrics_;
	std::vector<std::weak_ptr<WatchedPathI>> paths_;
	std::map<TargetLife, Asked> asked_;
	AwakeTime awake_;         //!< By its looks.
	double usualGap_ = 22000; //!< Between two events, microseconds, as lately seen; at first as on small sites.
	bool ticking_ = false;
};

} // namespace sedgecart

#endif // SEDGECART_LOADS_PATHWATCH_H_HEADER_GUARD

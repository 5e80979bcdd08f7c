// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <loads/pathwatch.h>

#include <fleet/lifecheck.h>
#include <logging/logging.h>
#include <metrics/metrics.h>

#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <chrono>

namespace sedgecart
{

namespace
{

/// Between two looks at the silent paths.
constexpr Duration kLook = Duration::fromMillis(8);

/// Silence between two events that is news: events of a sound path come 15 to 25 ms apart, and a pause of 200 ms makes
/// a stream late. Asking once too often costs a hundred thousandth of a request.
constexpr Duration kSilence = Duration::fromMillis(42);

/// Where events come further apart, by load or by longer chains, so many usual gaps are news, up to a longest silence
/// that leaves time to recover within the pause that sheets allow (200 ms).
constexpr double kSilentGaps = 2.5;
constexpr Duration kLongestSilence = Duration::fromMillis(140);

/// Weight of one gap in the usual one: some hundred events, which a node sees in a second or so.
constexpr double kGapWeight = 0.01;

/// Silence before the first event that is news: a first event takes 140 ms in 99 of 100, and 500 ms makes it late.
constexpr Duration kFirstSilence = Duration::fromMillis(200);

/// A target answers within some milliseconds; the rest is for the work of a weak node: with 16 ms, nodes of 0.12 cores
/// took 25 sound targets as dead in three calm seconds.
constexpr Duration kAnswerBound = Duration::fromMillis(30);

/// A target is not asked again within this time; twice as long after each answer that did not help, up to the longest.
constexpr Duration kAskPause = Duration::fromMillis(300);
constexpr Duration kLongestAskPause = Duration::fromMillis(2400);

/// A target that did not answer is not asked again within this time.
constexpr Duration kSilentPause = Duration::fromMillis(1500);

/// A dead target is passed over for so long: its record goes from the registry within it.
constexpr Duration kDeadFor = Duration::fromMillis(4500);

/// Where none of several targets answered the fault may be this node's, and passing over them all must end soon.
constexpr Duration kDoubtFor = Duration::fromMillis(600);

/// Part of a question's bound that this node must have been awake for, so that silence counts; the rest is for looks
/// that are not exact.
constexpr double kAwakePart = 0.8;

/// Questions at once to a target in another hall: links between halls may lose a packet, and a lost first packet is
/// sent again only after a second.
constexpr uint32_t kFarQuestions = 2;

bool holds(const std::vector<const FleetTarget*>& _targets, const FleetTarget& _target)
{
	return std::any_of(_targets.begin(), _targets.end(),
	                   [&_target](const FleetTarget* _one)
	                   {
		                   return _one->load == _target.load;
	                   });
}

bool isToldDead(const FleetTarget& _target)
{
	return kSureSuspicion <= _target.load->othersSuspicion.load(std::memory_order_relaxed);
}

/// @returns true if what a target ran is lost by another word than its silence, and paths were not told lately.
bool isToldGone(const FleetTarget& _target, Time _now)
{
	const bool told = _now.micros < _target.load->avoidedUntil.load(std::memory_order_relaxed);
	return !told && (isToldDead(_target) || _target.isStale(_now));
}

} // namespace

PathWatch::PathWatch(boost::asio::io_context& _loop, const ClockI& _clock, RunnerOrdersI& _orders, Metrics& _metrics)
    : timer_(_loop),
      clock_(_clock),
      orders_(_orders),
      metrics_(_metrics),
      awake_(kLook)
{
}

void PathWatch::add(const std::shared_ptr<WatchedPathI>& _path)
{
	paths_.push_back(_path);
	if (!ticking_)
	{
		awake_.restart();
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
	timer_.expires_after(std::chrono::microseconds(kLook.micros));
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

std::vector<std::shared_ptr<WatchedPathI>> PathWatch::live()
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
	const std::vector<std::shared_ptr<WatchedPathI>> paths = live();
	if (paths.empty())
	{
		awake_.restart(); // the next look is not due until there is a path again
		return;
	}
	const Time now = clock_.now();
	awake_.look(now);
	leaveToldDead(paths, now);
	look(paths, now);
	start();
}

/// Paths leave targets that other nodes are sure of, since a node that is too weak to find out itself hears it so, and
/// targets that have started again or refuse their part.
void PathWatch::leaveToldDead(const std::vector<std::shared_ptr<WatchedPathI>>& _paths, Time _now)
{
	std::vector<FleetTarget> left;
	const Time recent{_now.micros - silence().micros}; // what this node hears itself goes before others' word
	for (const auto& path : _paths)
	{
		for (const FleetTarget* const target : path->pathTargets())
		{
			if (isToldGone(*target, _now) && !hasHeardOver(*target, recent))
			{
				passOver(*target, isToldDead(*target) ? kDeadFor : kDoubtFor);
				left.push_back(*target);
			}
		}
	}
	for (const FleetTarget& target : left)
	{
		const bool dead = isToldDead(target);
		tellPaths(target, dead ? "other nodes found it dead" : "it does not hold its layers any more", recent);
	}
}

bool PathWatch::isSilent(const WatchedPathI& _path, Time _now) const
{
	const Duration bound = _path.begun() ? silence() : kFirstSilence;
	return bound < awake_.since(_path.lastProgress(), _now);
}

bool PathWatch::goesOn(const WatchedPathI& _path) const
{
	return _path.begun() && !isSilent(_path, clock_.now());
}

/// @returns true if some path has moved on since a moment: this node hears.
bool PathWatch::hasHeardSince(Time _moment)
{
	const std::vector<std::shared_ptr<WatchedPathI>> paths = live();
	return std::any_of(paths.begin(), paths.end(),
	                   [_moment](const std::shared_ptr<WatchedPathI>& _path)
	                   {
		                   return _path->begun() && _moment < _path->lastProgress();
	                   });
}

/// @returns true if a path over a target has moved on since a moment: the target lives.
bool PathWatch::hasHeardOver(const FleetTarget& _target, Time _since)
{
	const std::vector<std::shared_ptr<WatchedPathI>> paths = live();
	return std::any_of(paths.begin(), paths.end(),
	                   [&_target, _since](const std::shared_ptr<WatchedPathI>& _path)
	                   {
		                   return _path->begun() && _since < _path->lastProgress() &&
		                          holds(_path->sureTargets(), _target);
	                   });
}

Duration PathWatch::stretched(Duration _usual) const
{
	return Duration{static_cast<int64_t>(static_cast<double>(_usual.micros) * awake_.stretch())};
}

Duration PathWatch::silence() const
{
	const Duration usual{static_cast<int64_t>(usualGap_ * kSilentGaps)};
	return std::min(kLongestSilence, std::max(kSilence, usual));
}

void PathWatch::noteGap(Duration _gap)
{
	usualGap_ += (static_cast<double>(_gap.micros) - usualGap_) * kGapWeight;
}

/// @param _now as `awake_` was told: what is asked now is measured from there.
void PathWatch::look(const std::vector<std::shared_ptr<WatchedPathI>>& _paths, Time _now)
{
	std::map<const TargetLoad*, Time> seen;
	bool anySilent = false;
	for (const auto& path : _paths)
	{
		anySilent = anySilent || isSilent(*path, _now);
		for (const FleetTarget* const target : path->sureTargets())
		{
			Time& last = seen.emplace(target->load.get(), Time{}).first->second;
			last = path->begun() && last < path->lastProgress() ? path->lastProgress() : last;
			const int64_t until = target->load->suspectedUntil.load(std::memory_order_relaxed);
			if (until - kDeadFor.micros < last.micros)
			{
				withdraw(*target); // heard since it was suspected
			}
		}
	}
	if (!anySilent)
	{
		return;
	}
	const auto round = std::make_shared<Round>();
	round->at = _now;
	for (const auto& path : _paths)
	{
		if (!isSilent(*path, _now))
		{
			continue;
		}
		for (const FleetTarget* const target : path->pathTargets())
		{
			if (silence() < awake_.since(seen[target->load.get()], _now))
			{
				ask(*target, _now, round);
			}
		}
	}
}

void PathWatch::ask(const FleetTarget& _target, Time _now, const std::shared_ptr<Round>& _round)
{
	Asked& asked = asked_[_target.record.life()];
	if (_now < asked.notBefore || 0 < asked.open)
	{
		return;
	}
	const bool again = 0 < asked.pause.micros && _now < asked.notBefore + kLongestAskPause;
	const Duration pause = again ? std::min(kLongestAskPause, asked.pause + asked.pause) : kAskPause;
	asked = Asked{_now + pause, pause, kHomeHall == _target.hall ? 1 : kFarQuestions, false};
	++_round->asked;
	++_round->open;
	const FleetTarget target = _target;
	const Duration bound = stretched(kAnswerBound);
	for (uint32_t question = asked.open; 0 < question; --question)
	{
		orders_.probe(target.record.address, bound,
		              [this, target, _round](const ProbeAnswer& _answer)
		              {
			              onAnswer(target, *_round, _answer);
		              });
	}
}

void PathWatch::onAnswer(const FleetTarget& _target, Round& _round, const ProbeAnswer& _answer)
{
	Asked& asked = asked_[_target.record.life()];
	asked.open -= 0 < asked.open ? 1 : 0;
	const bool ended = endsLife(_target.record.life(), _answer, *_target.load); // paths leave it at a next look
	_round.answered += !asked.answered && _answer.lives() ? 1 : 0;
	asked.answered = asked.answered || _answer.lives();
	if (_answer.lives() && !ended)
	{
		withdraw(_target);
	}
	if (0 == asked.open)
	{
		onSettled(_target, _round, _answer);
	}
	onStalled(_answer.stalled);
}

/// All questions to a target are answered or have passed their bound.
void PathWatch::onSettled(const FleetTarget& _target, Round& _round, const ProbeAnswer& _answer)
{
	Asked& asked = asked_[_target.record.life()];
	const Time now = clock_.now();
	_round.open -= 0 < _round.open ? 1 : 0;
	if (asked.answered)
	{
		closeRound(_round);
		return;
	}
	const double needed = kAwakePart * static_cast<double>(kAnswerBound.micros) * _answer.tries;
	if (_answer.refused)
	{
		asked.notBefore = now + kSilentPause;
		suspect(_target, kSureSuspicion);
		passOver(_target, kDeadFor);
		tellPaths(_target, "nobody listens", _round.at);
	}
	else if (_answer.unasked)
	{
		// It says nothing of the target; it is asked again after the usual pause.
	}
	else if (static_cast<double>(awake_.since(_round.at, now).micros) < needed)
	{
		asked.notBefore = now + stretched(kAnswerBound); // this node was late: an answer may have been waiting
	}
	else
	{
		asked.notBefore = now + kSilentPause;
		_round.silent.push_back(_target);
	}
	closeRound(_round);
}

/// Once the last question of a round is settled, paths leave the targets that did not answer.
void PathWatch::closeRound(const Round& _round)
{
	if (0 < _round.open)
	{
		return;
	}
	const bool hears = 0 < _round.answered || hasHeardSince(_round.at);
	std::vector<FleetTarget> dead;
	for (const FleetTarget& target : _round.silent)
	{
		// An event that came over it since it was asked shows that it lives.
		if (hasHeardOver(target, _round.at))
		{
			continue;
		}
		dead.push_back(target);
		passOver(target, hears ? kDeadFor : kDoubtFor);
		if (hears)
		{
			suspect(target, kWeakSuspicion);
		}
	}
	for (const FleetTarget& target : dead)
	{
		tellPaths(target, "no answer", _round.at);
	}
}

void PathWatch::onStalled(const std::vector<std::string>& _addresses)
{
	for (const std::string& address : _addresses)
	{
		for (const auto& path : live())
		{
			for (const FleetTarget* const target : path->pathTargets())
			{
				if (address == target->record.address)
				{
					const FleetTarget stalled = *target; // telling the paths may end the one that it stands in
					onStalled(stalled);
					return;
				}
			}
		}
	}
}

/// What a neighbour says is some hundred milliseconds old: what this node has heard since goes before it.
void PathWatch::onStalled(const FleetTarget& _target)
{
	const Time recent{clock_.now().micros - silence().micros};
	if (!hasHeardOver(_target, recent))
	{
		passOver(_target, kDoubtFor);
		tellPaths(_target, "a neighbour waits for it", recent);
	}
}

void PathWatch::passOver(const FleetTarget& _target, Duration _span)
{
	metrics_.add(Counter::DeadTargets);
	_target.load->avoidedUntil.store((clock_.now() + _span).micros, std::memory_order_relaxed);
}

/// Other nodes hear of it, and the layout goes by it once it is sure.
void PathWatch::suspect(const FleetTarget& _target, uint32_t _suspicion)
{
	_target.load->suspicion.store(_suspicion, std::memory_order_relaxed);
	_target.load->suspectedUntil.store((clock_.now() + kDeadFor).micros, std::memory_order_relaxed);
}

/// A sign of life came: what this node alone suspected is wrong. That nobody listens there stays.
void PathWatch::withdraw(const FleetTarget& _target)
{
	if (kWeakSuspicion == _target.load->ownSuspicion(clock_.now()))
	{
		_target.load->suspectedUntil.store(0, std::memory_order_relaxed);
		_target.load->avoidedUntil.store(0, std::memory_order_relaxed);
	}
}

/// @param _since a path that has moved on since then has shown that its targets live, and stays.
void PathWatch::tellPaths(const FleetTarget& _target, const char* _cause, Time _since)
{
	uint32_t users = 0;
	for (const auto& path : live())
	{
		const bool moved = path->begun() && _since < path->lastProgress();
		if (!moved && holds(path->pathTargets(), _target))
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
	          {"node_awake_percent", std::to_string(static_cast<int>(kPercent / awake_.stretch()))},
	          {"requests", std::to_string(users)}});
}

} // namespace sedgecart

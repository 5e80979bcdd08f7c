// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "pathwatch_p.h"

#include <logging/logging.h>

#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <chrono>

namespace sedgecart
{

namespace
{

/// Between two looks at the silent paths.
constexpr Duration kLook = Duration::fromMillis(25);

/// Silence between two events that is news: events of a sound path come 15 to 25 ms apart, and a pause of 200 ms makes
/// a stream late.
constexpr Duration kSilence = Duration::fromMillis(90);

/// Silence before the first event that is news: a first event takes 140 ms in 99 of 100, and 500 ms makes it late.
constexpr Duration kFirstSilence = Duration::fromMillis(240);

/// A target answers within some milliseconds; the rest is for a busy node.
constexpr Duration kAnswerBound = Duration::fromMillis(70);

/// A target is not asked again within this time.
constexpr Duration kAskPause = Duration::fromMillis(300);

/// A dead target is passed over for so long: its record goes from the registry within it.
constexpr Duration kDeadFor = Duration::fromMillis(4500);

/// Questions at once to a target in another hall: links between halls may lose a packet, and a lost first packet is
/// sent again only after a second.
constexpr uint32_t kFarQuestions = 2;

} // namespace

PathWatch::PathWatch(boost::asio::io_context& _loop, const ClockI& _clock, RunnerOrdersI& _orders)
    : timer_(_loop),
      clock_(_clock),
      orders_(_orders)
{
}

void PathWatch::add(const std::shared_ptr<WatchedPathI>& _path)
{
	paths_.push_back(_path);
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
		return;
	}
	look(paths);
	start();
}

void PathWatch::look(const std::vector<std::shared_ptr<WatchedPathI>>& _paths)
{
	const Time now = clock_.now();
	std::map<const TargetLoad*, Time> seen;
	bool anySilent = false;
	for (const auto& path : _paths)
	{
		const Duration bound = path->begun() ? kSilence : kFirstSilence;
		const bool silent = path->lastProgress() + bound < now;
		anySilent = anySilent || silent;
		for (const FleetTarget* const target : path->pathTargets())
		{
			Time& last = seen.emplace(target->load.get(), Time{}).first->second;
			last = path->begun() && last < path->lastProgress() ? path->lastProgress() : last;
		}
	}
	if (!anySilent)
	{
		return;
	}
	for (const auto& path : _paths)
	{
		if (!(path->lastProgress() + (path->begun() ? kSilence : kFirstSilence) < now))
		{
			continue;
		}
		for (const FleetTarget* const target : path->pathTargets())
		{
			if (seen[target->load.get()] + kSilence < now)
			{
				ask(*target);
			}
		}
	}
}

void PathWatch::ask(const FleetTarget& _target)
{
	Asked& asked = asked_[_target.record.instance.text];
	const Time now = clock_.now();
	if (now < asked.at + kAskPause)
	{
		return;
	}
	asked = Asked{now, 0 == _target.hall ? 1 : kFarQuestions, false};
	const FleetTarget target = _target;
	for (uint32_t question = asked.open; 0 < question; --question)
	{
		orders_.probe(target.record.address, kAnswerBound,
		              [this, target](const ProbeAnswer& _answer)
		              {
			              onAnswer(target, _answer);
		              });
	}
}

void PathWatch::onAnswer(const FleetTarget& _target, const ProbeAnswer& _answer)
{
	Asked& asked = asked_[_target.record.instance.text];
	asked.open -= 0 < asked.open ? 1 : 0;
	asked.answered = asked.answered || _answer.answered;
	if (0 == asked.open && !asked.answered)
	{
		onDead(_target, "no answer");
		return;
	}
	for (const std::string& address : _answer.stalled)
	{
		for (const auto& path : live())
		{
			for (const FleetTarget* const target : path->pathTargets())
			{
				if (address == target->record.address)
				{
					onDead(*target, "a neighbour waits for it");
					return;
				}
			}
		}
	}
}

void PathWatch::onDead(const FleetTarget& _target, const char* _cause)
{
	const Time now = clock_.now();
	const FleetTarget target = _target;
	target.load->avoidedUntil.store((now + kDeadFor).micros, std::memory_order_relaxed);
	uint32_t users = 0;
	for (const auto& path : live())
	{
		const auto targets = path->pathTargets();
		const auto isIt = [&target](const FleetTarget* _one)
		{
			return _one->load == target.load;
		};
		if (std::any_of(targets.begin(), targets.end(), isIt))
		{
			++users;
			path->onTargetDead(target);
		}
	}
	logEvent(LogPart::Targets, LogLevel::Warning, "Target is taken as dead.",
	         {{"target", target.record.instance.text},
	          {"cause", _cause},
	          {"hall", target.record.hall},
	          {"requests", std::to_string(users)}});
}

} // namespace sedgecart

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <loads/slowdownpoll.h>

#include <fleet/restartdetection.h>
#include <logging/logging.h>

#include <chrono>
#include <vector>

namespace sedgecart
{

namespace
{

/// Approximate interval between two polls of a target of the hall. A poll costs a hundred thousandth of a request; a
/// slow target that is detected a second later has received the requests of one more second.
constexpr Duration kRound = Duration::fromMillis(1400);

/// Number of steps over which the polls of a round are spread, so that the answers do not arrive all at once.
constexpr std::size_t kSteps = 14;

constexpr double kNoSlowdown = 1;

/// Timeout of a poll; a target answers within some milliseconds.
constexpr Duration kPollTimeout = Duration::fromMillis(400);

/// Slowdown of a target whose crossing, in either direction, is logged.
constexpr double kLoggedSlowdown = 1.5;

} // namespace

SlowdownPoll::SlowdownPoll(boost::asio::io_context& _loop, RunnerOrdersI& _orders, const FleetController& _fleet,
                           const std::string& _hall, const ClockI& _clock, std::function<bool()> _isHub)
    : timer_(_loop),
      orders_(_orders),
      fleet_(_fleet),
      hall_(_hall),
      clock_(_clock),
      plan_(kRound, kSteps),
      isHub_(std::move(_isHub))
{
}

void SlowdownPoll::start()
{
	tick();
}

void SlowdownPoll::tick()
{
	pollDueTargets();
	// A node that is not the hub only checks whether it has become the hub.
	const Duration pause = polls_ ? Duration{kRound.micros / static_cast<int64_t>(kSteps)} : kRound;
	timer_.expires_after(std::chrono::microseconds(pause.micros));
	timer_.async_wait(
	    [this](const boost::system::error_code& _error)
	    {
		    if (!_error)
		    {
			    tick();
		    }
	    });
}

void SlowdownPoll::pollDueTargets()
{
	const bool wasHub = polls_;
	polls_ = isHub_();
	if (!polls_)
	{
		if (wasHub)
		{
			clearPolled();
		}
		return;
	}
	std::vector<PollTarget> targets;
	for (const auto& row : fleet_.runners())
	{
		if (hall_ == row.second.hall && 0 < row.second.layers.size())
		{
			targets.push_back(PollTarget{row.first, isRelevant(row.first)});
		}
	}
	for (const std::string& instance : plan_.takeDue(targets, clock_.now()))
	{
		pollTarget(fleet_.runners().at(instance));
	}
}

/// Drops the slowdowns that this node polled: another hub reports them from now on.
void SlowdownPoll::clearPolled()
{
	for (const auto& row : fleet_.loads())
	{
		row.second->polledSlowdown.store(kNoSlowdown, std::memory_order_relaxed);
	}
}

/// @returns true if some node has work at a target, or if the target is known to be slow: nodes avoid it until another
/// slowdown is reported.
bool SlowdownPoll::isRelevant(const std::string& _instance) const
{
	const auto row = fleet_.loads().find(_instance);
	if (fleet_.loads().end() == row)
	{
		return true;
	}
	const TargetLoad& load = *row->second;
	const uint64_t tokenLayers =
	    load.tokenLayers.load(std::memory_order_relaxed) + load.remoteTokenLayers.load(std::memory_order_relaxed);
	const uint32_t requests =
	    load.requests.load(std::memory_order_relaxed) + load.remoteRequests.load(std::memory_order_relaxed);
	return 0 < tokenLayers || 0 < requests || kNoSlowdown < load.polledSlowdown.load(std::memory_order_relaxed);
}

void SlowdownPoll::pollTarget(const RunnerRecord& _target)
{
	const auto row = fleet_.loads().find(_target.instance.text);
	if (fleet_.loads().end() == row)
	{
		return;
	}
	const std::shared_ptr<TargetLoad> load = row->second;
	orders_.poll(_target.address, kPollTimeout,
	             [this, polled = _target.incarnation(), load](const ProbeAnswer& _answer)
	             {
		             if (!_answer.answered || !polls_)
		             {
			             return; // the request path detects dead targets; another hub polls now
		             }
		             if (detectRestart(polled, _answer, *load))
		             {
			             return;
		             }
		             const double before = load->polledSlowdown.exchange(_answer.slowdown, std::memory_order_relaxed);
		             if ((before < kLoggedSlowdown) != (_answer.slowdown < kLoggedSlowdown))
		             {
			             logEvent(LogPart::Targets, LogLevel::Info, "Slowdown of a target changes.",
			                      {{"target", polled.instance.text},
			                       {"times_slower", std::to_string(_answer.slowdown)},
			                       {"before", std::to_string(before)}});
		             }
	             });
}

} // namespace sedgecart

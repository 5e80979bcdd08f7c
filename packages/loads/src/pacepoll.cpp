// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <loads/pacepoll.h>

#include <fleet/lifecheck.h>
#include <logging/logging.h>

#include <chrono>
#include <vector>

namespace sedgecart
{

namespace
{

/// Each target of the hall is asked about this often. A question costs as much as a hundred thousandth of a request's
/// worth; a slow target that is known a second later has taken a second's requests more.
constexpr Duration kRound = Duration::fromMillis(1400);

/// The questions of a round are spread over so many steps, so that their answers do not come at once.
constexpr std::size_t kSteps = 14;

constexpr double kUsualPace = 1;

/// An answer later than this is not waited for: a target answers within some milliseconds.
constexpr Duration kBound = Duration::fromMillis(400);

/// Told in the log when a target turns slow by more than this, or back.
constexpr double kNotable = 1.5;

} // namespace

PacePoll::PacePoll(boost::asio::io_context& _loop, RunnerOrdersI& _orders, const FleetController& _fleet,
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

void PacePoll::start()
{
	tick();
}

void PacePoll::tick()
{
	step();
	timer_.expires_after(std::chrono::microseconds(kRound.micros / static_cast<int64_t>(kSteps)));
	timer_.async_wait(
	    [this](const boost::system::error_code& _error)
	    {
		    if (!_error)
		    {
			    tick();
		    }
	    });
}

void PacePoll::step()
{
	if (!isHub_())
	{
		for (const auto& row : fleet_.loads())
		{
			row.second->polledPace.store(1, std::memory_order_relaxed); // the hub tells from now on
		}
		return;
	}
	std::vector<PollTarget> targets;
	for (const auto& row : fleet_.runners())
	{
		if (hall_ == row.second.hall && 0 < row.second.layers.size())
		{
			targets.push_back(PollTarget{row.first, matters(row.first)});
		}
	}
	for (const std::string& instance : plan_.takeDue(targets, clock_.now()))
	{
		ask(fleet_.runners().at(instance));
	}
}

/// @returns true if some node has work at a target, or it is known as slow, so that nodes avoid it until it is told
/// otherwise.
bool PacePoll::matters(const std::string& _instance) const
{
	const auto row = fleet_.loads().find(_instance);
	if (fleet_.loads().end() == row)
	{
		return true;
	}
	const TargetLoad& load = *row->second;
	const uint64_t tokenLayers =
	    load.tokenLayers.load(std::memory_order_relaxed) + load.othersTokenLayers.load(std::memory_order_relaxed);
	const uint32_t requests =
	    load.requests.load(std::memory_order_relaxed) + load.othersRequests.load(std::memory_order_relaxed);
	return 0 < tokenLayers || 0 < requests || kUsualPace < load.polledPace.load(std::memory_order_relaxed);
}

void PacePoll::ask(const RunnerRecord& _target)
{
	const auto row = fleet_.loads().find(_target.instance.text);
	if (fleet_.loads().end() == row)
	{
		return;
	}
	const std::shared_ptr<TargetLoad> load = row->second;
	orders_.poll(_target.address, kBound,
	             [asked = _target.life(), load](const ProbeAnswer& _answer)
	             {
		             if (!_answer.answered)
		             {
			             return; // what is dead is found on the request path
		             }
		             if (endsLife(asked, _answer, *load))
		             {
			             return;
		             }
		             const double before = load->polledPace.exchange(_answer.pace, std::memory_order_relaxed);
		             if ((before < kNotable) != (_answer.pace < kNotable))
		             {
			             logEvent(LogPart::Targets, LogLevel::Info, "Target changes its pace.",
			                      {{"target", asked.instance.text},
			                       {"times_slower", std::to_string(_answer.pace)},
			                       {"before", std::to_string(before)}});
		             }
	             });
}

} // namespace sedgecart

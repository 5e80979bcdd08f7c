// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_CORE_POLLPLAN_H_HEADER_GUARD
#define SEDGECART_CORE_POLLPLAN_H_HEADER_GUARD

#include <base/units.h>

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace sedgecart
{

/// A target whose slowdown can be polled.
struct PollTarget
{
	std::string name;
	bool active = true; //!< It has work, or is known to be slow.
};

/// Selects the targets that are polled at a step: active targets once a round, the others once in several rounds,
/// evenly spread over the steps of a round. This bounds the cost of polling, since polls of targets without work cost
/// as much as requests do. Pure: the time is passed in.
class PollPlan
{
public:
	/// @param _steps number of steps in a round.
	PollPlan(Duration _round, std::size_t _steps);

	/// Whether targets that are not active are polled less often. Enabled by default.
	void pollIdleRarely(bool _enabled)
	{
		idleRounds_ = _enabled ? kIdleRounds : 1;
	}

	/// @returns the names of the targets to poll now; they count as polled.
	std::vector<std::string> takeDue(const std::vector<PollTarget>& _targets, Time _now);

	/// Rounds in which an inactive target is polled once. A target that gets work is polled at the next step unless it
	/// was polled in this round, so its slowdown is known as soon as with a poll each round.
	static constexpr int kIdleRounds = 4;

private:
	void dropRemoved(const std::vector<PollTarget>& _targets);

	Duration round_;
	std::size_t steps_;
	int idleRounds_ = kIdleRounds;
	std::map<std::string, Time> polledAt_;
};

} // namespace sedgecart

#endif // SEDGECART_CORE_POLLPLAN_H_HEADER_GUARD

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

/// A target that may be asked how slow it is.
struct PollTarget
{
	std::string name;
	bool matters = true; //!< It has work, or is known to be slow.
};

/// Which targets are asked at a step: those that matter once a round, the others once in several, each step as many as
/// spread a round evenly. Answers the load in which questions to targets without work cost as much as requests do.
/// Pure: the time is passed in.
class PollPlan
{
public:
	/// @param _steps in a round.
	PollPlan(Duration _round, std::size_t _steps);

	/// Whether targets that do not matter are asked seldom. They are, unless this switches it off.
	void askIdleSeldom(bool _seldom)
	{
		idleRounds_ = _seldom ? kIdleRounds : 1;
	}

	/// @returns the names of those that are to be asked now; they count as asked.
	std::vector<std::string> takeDue(const std::vector<PollTarget>& _targets, Time _now);

	/// Rounds in which a target that does not matter is asked once: one that gets work is asked at the next step if it
	/// was not in this round, so that it is known as soon as before.
	static constexpr int kIdleRounds = 4;

private:
	void forgetGone(const std::vector<PollTarget>& _targets);

	Duration round_;
	std::size_t steps_;
	int idleRounds_ = kIdleRounds;
	std::map<std::string, Time> askedAt_;
};

} // namespace sedgecart

#endif // SEDGECART_CORE_POLLPLAN_H_HEADER_GUARD

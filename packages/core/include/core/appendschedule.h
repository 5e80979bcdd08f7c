// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_CORE_APPENDSCHEDULE_H_HEADER_GUARD
#define SEDGECART_CORE_APPENDSCHEDULE_H_HEADER_GUARD

#include <base/units.h>

#include <cstddef>

namespace sedgecart
{

/// Schedules attempts to append a change that every node wants and only one has to make. The nodes have places in an
/// order that differs with each change. The first place tries at once; while no attempt has succeeded, each later turn
/// admits twice as many places: 300 nodes are through within ten turns, and mostly one or two have tried. This bounds
/// the load on the store when all nodes of a fleet detect the same loss at the same moment. Pure: the time is passed
/// in.
class AppendSchedule
{
public:
	/// @param _wanted whether a change is wanted now.
	void setWanted(bool _wanted, Time _now);

	/// Sets how many nodes want the same change, and the place of this one.
	/// @param _place as in isDue.
	void setContenders(std::size_t _place, std::size_t _nodes);

	/// This node has tried. In any case it waits for its turn again.
	/// @param _decided the store accepted the change or reported that another came first; otherwise it did not answer
	/// or was busy.
	void onOutcome(bool _decided, Time _now);

	/// @param _place of this node among those that want the change, from 0.
	/// @returns true if this node may try now.
	bool isDue(std::size_t _place, Time _now) const;

	/// @param _place as in isDue.
	/// @returns how long a node of this place may go without checking whether a change is needed. The first places
	/// check at each step, and so does a node that wants a change. The interval of the others is proportional to their
	/// place, so that the checks of a fleet without changes grow with the logarithm of its nodes.
	Duration checkInterval(std::size_t _place) const;

	/// Places that check at each step: several, since those of a failed data hall or rack do not check at all.
	static constexpr std::size_t kFrequentCheckers = 8;

	/// Interval of the first place after them.
	static constexpr Duration kCheckStep = Duration::fromMillis(200);

	/// Time between two turns: a record takes some tens of milliseconds to be seen, through a hub 150 more.
	static constexpr Duration kTurnInterval = Duration::fromMillis(250);

	/// Shortest and longest backoff of a node after an attempt without a decision of the store; doubled each time in a
	/// row.
	static constexpr Duration kFirstBackoff = Duration::fromMillis(400);
	static constexpr Duration kMaxBackoff = Duration::fromMillis(6400);

	/// Time between two attempts of a fleet after attempts without a decision, once all nodes have tried: ten per
	/// second however many nodes there are, so that a busy store can recover.
	static constexpr Duration kFleetBackoff = Duration::fromMillis(100);

private:
	Time wantedAt_; //!< Since when a change is wanted; 0: none is wanted.
	Time notBefore_;
	Duration backoff_ = kFirstBackoff;
	std::size_t place_ = 0;
	std::size_t nodes_ = 1;
	bool undecided_ = false; //!< The last attempt got no decision.
};

} // namespace sedgecart

#endif // SEDGECART_CORE_APPENDSCHEDULE_H_HEADER_GUARD

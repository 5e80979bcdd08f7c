// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_CORE_CHANGETURN_H_HEADER_GUARD
#define SEDGECART_CORE_CHANGETURN_H_HEADER_GUARD

#include <base/units.h>

#include <cstddef>

namespace sedgecart
{

/// When a node may try to append a change that every node wants and one is to make. Nodes have places, in an order that
/// changes with each change; the first one tries at once, and as long as nobody has, twice as many at each later turn:
/// 300 nodes are through within ten turns, and mostly one or two have tried. Answers the load in which all nodes of a
/// fleet see the same loss at the same moment. Pure: the time is passed in.
class ChangeTurn
{
public:
	/// @param _wanted whether a change is wanted, as of now.
	void setWanted(bool _wanted, Time _now);

	/// How many nodes want the same change, and which of them this one is.
	/// @param _place as in isDue.
	void setFleet(std::size_t _place, std::size_t _nodes);

	/// This node tried. Whatever came of it, it waits for its turn again.
	/// @param _decided the store took the change or said that another was first; else it did not answer or was busy.
	void onOutcome(bool _decided, Time _now);

	/// @param _place of this node among those that want the change, from 0.
	/// @returns true if this node may try now.
	bool isDue(std::size_t _place, Time _now) const;

	/// A record takes some tens of milliseconds to be seen, through a hub 150 more.
	static constexpr Duration kTurn = Duration::fromMillis(250);

	/// How long a node waits that the store did not answer, at first and at most; doubled each time in a row.
	static constexpr Duration kFirstPause = Duration::fromMillis(400);
	static constexpr Duration kLongestPause = Duration::fromMillis(6400);

	/// Between two tries of a fleet that the store did not answer, when all have tried once: ten a second however many
	/// nodes there are, so that a store that is busy is not kept so.
	static constexpr Duration kFleetPause = Duration::fromMillis(100);

private:
	Time wantedAt_; //!< Since when; 0: none is.
	Time notBefore_;
	Duration pause_ = kFirstPause;
	std::size_t place_ = 0;
	std::size_t nodes_ = 1;
	bool refused_ = false; //!< The last try was not decided.
};

} // namespace sedgecart

#endif // SEDGECART_CORE_CHANGETURN_H_HEADER_GUARD

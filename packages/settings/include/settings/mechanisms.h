// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_SETTINGS_MECHANISMS_H_HEADER_GUARD
#define SEDGECART_SETTINGS_MECHANISMS_H_HEADER_GUARD

#include <bitset>
#include <string>

namespace sedgecart
{

/// A policy of a node that can be switched off alone, to measure what it is worth.
struct Mechanism
{
	enum Enum
	{
		SecondCopies,    //!< Memory that requests do not need holds second copies of layers.
		OwnEvidence,     //!< What nodes found dead counts as gone for the layout before its record lapses.
		PathWatch,       //!< Paths that fall silent are asked who is dead.
		PacePolls,       //!< Targets are asked how slow they are.
		HeadSlots,       //!< Slots of a path's first target count in its price.
		MoveSpread,      //!< Requests that move choose among like heads by chance.
		MeanAnswer,      //!< An answer takes room for half of its length, which it has as a mean.
		BusyLast,        //!< Of the holders of second copies those with least under way take over a lost range.
		LapseGrace,      //!< Records that lapse while the store is away are kept for a while.
		TightHalls,      //!< A hall with little memory keeps a chain of its own where that serves more.
		LinkBound,       //!< New requests cross between halls only while the link bears them.
		StartWaits,      //!< Requests wait for a node that is about to be ready.
		HallLoads,       //!< A node that starts loads the topics of the store from a node of its hall.
		SharedTries,     //!< Few nodes of a hall look whether a store that is out answers again.
		IdlePolls,       //!< Targets without work are asked seldom how slow they are.
		RefusalEvidence, //!< What a target refuses for not holding it is asked of it by no other request for a while.
		MakeBeforeBreak, //!< Layout orders leave running requests their memory and every layer a holder.
		StopPace,        //!< What comes during a stop is let in by the time that answers took of late.
		OrderLives,      //!< An order to hold layers counts by what is known of it, not for a fixed time.
		StreamWaits,     //!< A stream that has begun waits for a place at a target while its caller stays.
		ResumePace,      //!< A node that has just started sends few streams at once that callers resume.
		UnheardLoads,    //!< What other nodes did not tell yet is guessed from what this one did.
		CrashLedger,     //!< A request under which targets end is not sent any more.
		DrainNotice,     //!< A target that says in an answer that it drains gets no more requests.
		TargetBackoff,   //!< A target that refused a request gets none until the backoff that it asked for is over.
		RateLimits,      //!< All nodes together send a target no more than the rate that it names.

		Count
	};
};

/// @returns the name that the setting uses: "second-copies" and so on.
const char* nameOf(Mechanism::Enum _mechanism);

/// Which mechanisms are on: all, but for those that a setting switches off.
class Mechanisms
{
public:
	bool on(Mechanism::Enum _mechanism) const
	{
		return !off_.test(_mechanism);
	}

	/// Switches off what a text names, and nothing else.
	/// @param _names separated by commas; "none" or nothing switches nothing off.
	/// @param _unknown set to the first name that there is not.
	/// @returns false if there is such a name; nothing is changed then.
	bool setOff(const std::string& _names, std::string& _unknown);

	/// @returns the names of what is off, separated by commas.
	std::string off() const;

private:
	std::bitset<Mechanism::Count> off_;
};

} // namespace sedgecart

#endif // SEDGECART_SETTINGS_MECHANISMS_H_HEADER_GUARD

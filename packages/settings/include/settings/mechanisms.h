// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_SETTINGS_MECHANISMS_H_HEADER_GUARD
#define SEDGECART_SETTINGS_MECHANISMS_H_HEADER_GUARD

#include <bitset>
#include <string>

namespace sedgecart
{

/// A policy of a node that can be disabled individually, to measure its effect.
struct Mechanism
{
	enum Enum
	{
		SecondCopies,     //!< Free memory holds second copies of layers.
		OwnEvidence,      //!< The layout ignores targets that nodes found dead before their records lapse.
		PathWatch,        //!< The targets of a path without progress are probed to find the dead one.
		PacePolls,        //!< Targets are polled for their slowdown.
		HeadSlots,        //!< The cost of a path includes the slots of its head.
		MoveSpread,       //!< Requests that move choose randomly among equivalent heads.
		MeanAnswer,       //!< An answer reserves memory for half of its length, its mean over time.
		BusyLast,         //!< The least loaded holders of second copies take over a lost range.
		LapseGrace,       //!< Records that lapse during an outage of the store are kept for a while.
		TightHalls,       //!< A hall with little memory keeps a chain of its own if that serves more requests.
		LinkBound,        //!< New requests cross between halls only while the link has capacity.
		StartWaits,       //!< Requests wait while a node is about to be ready.
		HallLoads,        //!< A starting node loads the store's topics from another node of its hall.
		SharedTries,      //!< During an outage of the store only a few nodes of a hall retry it.
		IdlePolls,        //!< Idle targets are polled less often for their slowdown.
		RefusalEvidence,  //!< Layers that a target refused as not held are not requested from it for a while.
		MakeBeforeBreak,  //!< Layout orders keep the memory of running requests and a holder of each layer.
		StopPace,         //!< During a stop requests are admitted by the recent durations of answers.
		OrderLives,       //!< An order to hold layers is tracked by its known state, not for a fixed time.
		StreamWaits,      //!< A started stream waits for capacity at a target while its caller stays.
		ResumePace,       //!< A node that has just started limits how many resumed streams it sends at once.
		UnheardLoads,     //!< The load that other nodes have not reported yet is estimated from this node's.
		CrashLedger,      //!< A request that targets crash under is not sent any more.
		DrainNotice,      //!< A target that announces in an answer that it drains gets no more requests.
		TargetBackoff,    //!< A target that refused a request gets none until its requested backoff is over.
		RateLimits,       //!< All nodes together keep to the rate limit that a target advertises.
		UrgencyAdmission, //!< Requests of prioritized services wait for capacity, the most urgent first.
		CapacityLeases,   //!< The hub lends the capacity of its hall to the nodes of prioritized services.
		CapacityForecast, //!< Refused callers of prioritized services return when capacity is expected.
		LoadShares,       //!< A node adds at most its share of the free capacity to a target of a prioritized service.

		Handovers, //!< A node that reaches no target hands requests to nodes that do.

		Count
	};
};

/// @returns the name that the setting uses: "second-copies" and so on.
const char* nameOf(Mechanism::Enum _mechanism);

/// The enabled mechanisms: all except those that a setting disables.
class Mechanisms
{
public:
	bool isEnabled(Mechanism::Enum _mechanism) const
	{
		return !disabled_.test(_mechanism);
	}

	/// Disables the mechanisms that a text names, and enables all others.
	/// @param _names separated by commas; "none" or an empty text disables none.
	/// @param _unknown set to the first unknown name.
	/// @returns false if there is an unknown name; nothing is changed then.
	bool disable(const std::string& _names, std::string& _unknown);

	/// @returns the names of the disabled mechanisms, separated by commas.
	std::string disabledNames() const;

private:
	std::bitset<Mechanism::Count> disabled_;
};

} // namespace sedgecart

#endif // SEDGECART_SETTINGS_MECHANISMS_H_HEADER_GUARD

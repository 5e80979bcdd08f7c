// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_CORE_TRACKEDORDER_H_HEADER_GUARD
#define SEDGECART_CORE_TRACKEDORDER_H_HEADER_GUARD

#include <base/layoutorderstate.h>
#include <base/runner.h>
#include <base/units.h>

#include <cstdint>

namespace sedgecart
{

/// State of an order as far as this node knows it. The numeric values are exchanged between nodes and must not change
/// their meaning.
struct OrderPhase
{
	enum Enum
	{
		Ordered,    //!< A record contains the order; the target's response is not known.
		Begun,      //!< The target is loading the layers.
		Held,       //!< The target reported that it holds the layers.
		Unanswered, //!< Sent, but no response arrived: the target may still execute it.
		Refused,    //!< Ended: the target refused it.
		Shown,      //!< Ended: the registry shows that the target holds the layers.
		GivenUp,    //!< Ended: no update within the longest load time, superseded, withdrawn, or the target restarted.

		Count
	};
};

/// @returns "ordered" and so on.
const char* nameOf(OrderPhase::Enum _phase);

/// An order to a target to hold layers, with its progress as far as this node knows it.
struct TrackedOrder
{
	TargetIncarnation incarnation; //!< Incarnation of the target; the order applies to no other one.
	LayerSpan layers;
	Offset fence;
	Time orderedAt;
	Duration loadTime; //!< Time to load the new layers when no other load runs at the same time.
	OrderPhase::Enum phase = OrderPhase::Ordered;
	LayoutOrderState::Enum reason = LayoutOrderState::Unknown; //!< Why the target refused the order.
	bool sentHere = false;       //!< This node issued the order and sends it to the target.
	bool neverResent = false;    //!< This node never resends the order.
	Time queryFrom;              //!< When the registry would show the layers if no other load ran at the same time.
	Time dueAt;                  //!< When the registry is expected to show the layers.
	Time inEffectUntil;          //!< The layers count as held by the target until then.
	Time refusedUntil;           //!< The layout plan does not repeat the order before then.
	Time publishedUntil;         //!< Records include the refusal until then.
	Time resendAt;               //!< Earliest time to resend the order.
	bool awaitingAnswer = false; //!< Sent, and the response is outstanding.
	uint32_t sendCount = 0;      //!< How often this node has sent the order.
	Duration age;                //!< In events: time since the order was recorded.

	/// @returns true if the target has confirmed that it executes the order, so that resending it has no effect there.
	bool isAccepted() const
	{
		return OrderPhase::Begun == phase || OrderPhase::Held == phase;
	}

	/// @returns true as long as the order has not ended.
	bool isActive() const
	{
		return phase < OrderPhase::Refused;
	}
};

} // namespace sedgecart

#endif // SEDGECART_CORE_TRACKEDORDER_H_HEADER_GUARD

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_CORE_HOLDORDER_H_HEADER_GUARD
#define SEDGECART_CORE_HOLDORDER_H_HEADER_GUARD

#include <base/layoutorderstate.h>
#include <base/runner.h>
#include <base/units.h>

#include <cstdint>

namespace sedgecart
{

/// What is known of an order. The numbers are told between nodes: none may change its meaning.
struct OrderPhase
{
	enum Enum
	{
		Ordered,    //!< A record orders it; what its target made of it is not known.
		Begun,      //!< The target loads.
		Held,       //!< The target says that it holds the layers.
		Unanswered, //!< Sent, and no answer came: it may be carried out, also later.
		Refused,    //!< Ended: the target does not do it.
		Shown,      //!< Ended: the registry shows it.
		GivenUp,    //!< Ended: nothing told of it for longer than its load can take, or its target started again.

		Count
	};
};

/// @returns "ordered" and so on.
const char* nameOf(OrderPhase::Enum _phase);

/// An order to hold layers, and what is known of it.
struct HoldOrder
{
	TargetLife life; //!< It counts for no other start of the target.
	LayerSpan layers;
	Offset fence;
	Time orderedAt;
	Duration load; //!< To read the new layers, alone.
	OrderPhase::Enum phase = OrderPhase::Ordered;
	LayoutOrderState::Enum reason = LayoutOrderState::Unknown; //!< Of a refusal.
	bool own = false;                                          //!< This node sends it.
	bool onlyCounted = false;                                  //!< This node never sends it again.
	Time askFrom;                                              //!< Alone, its load would be shown by then.
	Time dueAt;                                                //!< Should be shown by then.
	Time countsUntil;
	Time refusedUntil; //!< Not to be asked again before.
	Time toldUntil;    //!< Its refusal is told to other nodes until then.
	Time askAgainAt;   //!< Not to be sent again before.
	bool asking = false;
	uint32_t sends = 0; //!< By this node.
	Duration age;       //!< Of an event: since it was ordered.

	/// @returns true if the target has told that it carries the order out: sent again it changes nothing there.
	bool isTaken() const
	{
		return OrderPhase::Begun == phase || OrderPhase::Held == phase;
	}

	/// @returns true until the order has ended.
	bool isUnderWay() const
	{
		return phase < OrderPhase::Refused;
	}
};

} // namespace sedgecart

#endif // SEDGECART_CORE_HOLDORDER_H_HEADER_GUARD

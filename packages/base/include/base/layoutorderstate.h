// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_BASE_LAYOUTORDERSTATE_H_HEADER_GUARD
#define SEDGECART_BASE_LAYOUTORDERSTATE_H_HEADER_GUARD

namespace sedgecart
{

/// How a target responded to a layout order. The values are exchanged between nodes and must not change their meaning.
struct LayoutOrderState
{
	enum Enum
	{
		Begun,
		Held,        //!< The target already holds these layers.
		Unfit,       //!< The order does not fit the target's state.
		Fenced,      //!< The target has seen a higher fence.
		Invalid,     //!< The target does not support this order.
		OtherTarget, //!< Another target has the address now.
		Unknown,     //!< No answer: the order may be carried out, possibly later.

		Count
	};
};

} // namespace sedgecart

#endif // SEDGECART_BASE_LAYOUTORDERSTATE_H_HEADER_GUARD

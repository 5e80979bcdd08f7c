// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_BASE_LAYOUTORDERSTATE_H_HEADER_GUARD
#define SEDGECART_BASE_LAYOUTORDERSTATE_H_HEADER_GUARD

namespace sedgecart
{

/// What a target made of an order. The numbers are told between nodes: none may change its meaning.
struct LayoutOrderState
{
	enum Enum
	{
		Begun,
		Held,        //!< It holds these layers already.
		Unfit,       //!< It does not fit the target's state.
		Fenced,      //!< The target has seen a higher fence.
		Invalid,     //!< The target does not know such an order.
		OtherTarget, //!< Another target is at the address by now.
		Unknown,     //!< No answer: it may be carried out, also later.

		Count
	};
};

} // namespace sedgecart

#endif // SEDGECART_BASE_LAYOUTORDERSTATE_H_HEADER_GUARD

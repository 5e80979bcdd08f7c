// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_ENTRY_RUNNERORDERS_H_HEADER_GUARD
#define SEDGECART_ENTRY_RUNNERORDERS_H_HEADER_GUARD

#include <base/runner.h>
#include <base/units.h>

#include <functional>
#include <string>

namespace sedgecart
{

/// What a target made of an order.
struct LayoutOrderState
{
	enum Enum
	{
		Begun,
		Held,    //!< It holds these layers already.
		Unfit,   //!< It does not fit the target's state.
		Fenced,  //!< The target has seen a higher fence.
		Invalid, //!< The target does not know such an order, or it is another target.
		Unknown, //!< No answer: it may be carried out, also later.

		Count
	};
};

/// @returns "begun" and so on.
const char* nameOf(LayoutOrderState::Enum _state);

/// Orders to targets that run a model in layers. Calls return at once; answers come on the loop's thread.
class RunnerOrdersI
{
public:
	virtual ~RunnerOrdersI() = default;

	using OrderCall = std::function<void(LayoutOrderState::Enum)>;

	/// Has a target hold these layers and no others.
	/// @param _fence a target refuses an order whose fence is below one that it has seen.
	virtual void hold(const RunnerRecord& _target, LayerSpan _layers, Offset _fence, OrderCall _call) = 0;
};

} // namespace sedgecart

#endif // SEDGECART_ENTRY_RUNNERORDERS_H_HEADER_GUARD

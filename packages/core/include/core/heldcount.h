// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_CORE_HELDCOUNT_H_HEADER_GUARD
#define SEDGECART_CORE_HELDCOUNT_H_HEADER_GUARD

#include <base/units.h>
#include <core/budgetnodes.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace sedgecart
{

/// A count of nodes that rises at once and falls only after `kHold`. Nodes divide fleet-wide budgets by it: the record
/// of a node that lives can lapse, and a larger share for the others would then exceed the budget.
class HeldCount
{
public:
	/// How long a node counts after it has left the registry.
	static constexpr Duration kHold = Duration::fromMillis(30000);

	/// Sets the current count. `_now` never decreases.
	void set(uint32_t _count, Time _now);

	/// @returns the largest count within the last `kHold`; 0 while none is known.
	BudgetNodes at(Time _now) const;

private:
	/// A larger count than all later ones.
	struct Former
	{
		uint32_t count = 0;
		Time until;
	};

	uint32_t current_ = 0;
	std::optional<Time> knownSince_;
	std::vector<Former> formers_; //!< Largest first.
};

} // namespace sedgecart

#endif // SEDGECART_CORE_HELDCOUNT_H_HEADER_GUARD

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_CORE_BUDGETNODES_H_HEADER_GUARD
#define SEDGECART_CORE_BUDGETNODES_H_HEADER_GUARD

#include <base/units.h>

#include <cstdint>

namespace sedgecart
{

/// The nodes that share a fleet-wide budget, as this process knows them.
struct BudgetNodes
{
	uint32_t count = 0; //!< Includes this node; 0: not known.
	Duration knownFor;  //!< Since this process first knew the count.
};

} // namespace sedgecart

#endif // SEDGECART_CORE_BUDGETNODES_H_HEADER_GUARD

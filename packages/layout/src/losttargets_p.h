// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_LAYOUT_LOSTTARGETS_P_H_HEADER_GUARD
#define SEDGECART_LAYOUT_LOSTTARGETS_P_H_HEADER_GUARD

#include <base/units.h>

#include <set>
#include <string>

namespace sedgecart
{

class FleetController;

/// @returns targets that nodes found dead and whose records have not lapsed yet. Where much of a hall seems dead at
/// once it is cut off rather, and what its targets hold is left to the registry.
std::set<std::string> lostTargets(const FleetController& _fleet, Time _now);

} // namespace sedgecart

#endif // SEDGECART_LAYOUT_LOSTTARGETS_P_H_HEADER_GUARD

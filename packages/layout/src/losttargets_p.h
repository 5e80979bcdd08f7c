// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_LAYOUT_LOSTTARGETS_P_H_HEADER_GUARD
#define SEDGECART_LAYOUT_LOSTTARGETS_P_H_HEADER_GUARD

#include <base/units.h>

#include <set>
#include <string>

namespace sedgecart
{

class FleetController;

/// @returns the targets that nodes report as dead and whose registry records have not expired yet. If a large part of a
/// hall seems dead at once, the hall is more likely cut off: its targets are not returned, and the registry decides.
std::set<std::string> lostTargets(const FleetController& _fleet, Time _now);

} // namespace sedgecart

#endif // SEDGECART_LAYOUT_LOSTTARGETS_P_H_HEADER_GUARD

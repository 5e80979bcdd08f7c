// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_FLEET_SUSPECTTABLE_H_HEADER_GUARD
#define SEDGECART_FLEET_SUSPECTTABLE_H_HEADER_GUARD

#include <base/requestidentity.h>
#include <base/units.h>

#include <cstdint>
#include <map>

namespace sedgecart
{

/// A request under which targets ended, as the request path needs to know it.
struct Suspect
{
	uint32_t crashes = 0;
	bool blocked = false;
	Time blockedUntil;
};

/// What the request path reads of them: immutable.
struct SuspectTable
{
	std::map<RequestIdentity, Suspect> rows;
};

} // namespace sedgecart

#endif // SEDGECART_FLEET_SUSPECTTABLE_H_HEADER_GUARD

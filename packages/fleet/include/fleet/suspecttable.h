// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_FLEET_SUSPECTTABLE_H_HEADER_GUARD
#define SEDGECART_FLEET_SUSPECTTABLE_H_HEADER_GUARD

#include <base/requestidentity.h>
#include <base/units.h>

#include <cstdint>
#include <map>

namespace sedgecart
{

/// A request that targets crashed under, as the request path sees it.
struct Suspect
{
	uint32_t crashes = 0;
	bool blocked = false;
	Time blockedUntil;
	Time heldUntil; //!< Of a prompt part: nodes that have had no response to it send it nowhere until then.
};

/// The suspect requests, for the request path. Immutable.
struct SuspectTable
{
	std::map<RequestIdentity, Suspect> rows;
};

} // namespace sedgecart

#endif // SEDGECART_FLEET_SUSPECTTABLE_H_HEADER_GUARD

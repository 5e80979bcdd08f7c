// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_DEMAND_SERVICECAPACITY_H_HEADER_GUARD
#define SEDGECART_DEMAND_SERVICECAPACITY_H_HEADER_GUARD

#include <base/units.h>
#include <demand/servicedemand.h>

#include <cstdint>

namespace sedgecart
{

/// What a hub lends to a node of its hall, and what the node may promise to refused callers.
struct ServiceCapacity
{
	uint64_t leaseLimit = 0; //!< Value of `ServiceDemand::leaseUsed` up to which the node may admit; 0: the
	                         //!< hub grants nothing now, and the node keeps the lease that it has.
	Duration leaseTerm;      //!< Counted from when the report was sent that this answers; 0: the hub
	                         //!< grants no leases at all.
	uint32_t maxUrgency = kUrgencies - 1; //!< Least urgent requests that may use headroom.
	StepTokens forecast{};                //!< Expected free capacity for this node, cumulative.
	bool hasForecast = false;             //!< False: the hub computes no forecast.
};

} // namespace sedgecart

#endif // SEDGECART_DEMAND_SERVICECAPACITY_H_HEADER_GUARD

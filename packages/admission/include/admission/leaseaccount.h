// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_ADMISSION_LEASEACCOUNT_H_HEADER_GUARD
#define SEDGECART_ADMISSION_LEASEACCOUNT_H_HEADER_GUARD

#include <admission/servicecapacity.h>
#include <admission/servicedemand.h>
#include <base/units.h>

#include <cstdint>

namespace sedgecart
{

/// The capacity of a service that the hub lends to this node. Taken from by the request thread, renewed by the control
/// thread.
class LeaseAccount
{
public:
	/// @returns false if admission is not bounded by leases: the hub of the hall grants none.
	bool isActive(Time _now) const;

	/// Takes capacity for a request, from the lease or from the floor if there is no valid lease.
	/// @param _tokens that the request occupies at each layer.
	/// @returns false if neither covers it; always true if leases are not active.
	bool tryTake(uint64_t _tokens, uint32_t _urgency, Time _now);

	/// Returns capacity of a request that was not sent to any target.
	void giveBack(uint64_t _tokens);

	/// Fills the fields of the lease. Must be called before the loads of the same report are read.
	void fillDemand(ServiceDemand& _demand, Time _now);

	/// Applies a hub's answer.
	/// @param _report number of the report that it answers.
	/// @param _sentAt when that report was sent.
	void apply(const ServiceCapacity& _capacity, uint64_t _report, Time _sentAt, Time _now);
};

} // namespace sedgecart

#endif // SEDGECART_ADMISSION_LEASEACCOUNT_H_HEADER_GUARD

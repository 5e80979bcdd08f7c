// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <admission/leaseaccount.h>

namespace sedgecart
{

bool LeaseAccount::isActive(Time) const
{
	return false;
}

bool LeaseAccount::tryTake(uint64_t, uint32_t, Time)
{
	return true;
}

void LeaseAccount::giveBack(uint64_t)
{
}

void LeaseAccount::fillDemand(ServiceDemand&, Time)
{
}

void LeaseAccount::apply(const ServiceCapacity&, uint64_t, Time, Time)
{
}

} // namespace sedgecart

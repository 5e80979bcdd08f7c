// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_HALL_CAPACITYROWS_P_H_HEADER_GUARD
#define SEDGECART_HALL_CAPACITYROWS_P_H_HEADER_GUARD

#include <demand/servicecapacity.h>
#include <demand/servicedemand.h>

#include <cstddef>
#include <string>

namespace sedgecart
{

namespace wire
{
class CapacityOffer;
class ServiceCapacity;
class ServiceDemand;
} // namespace wire

/// Maximum number of services in a message; rows beyond it are ignored.
constexpr int kMaxCapacityRows = 16;

/// Maximum of each number of tokens, far more than a hall can hold. Sums over all nodes do not overflow.
constexpr uint64_t kMaxCapacityTokens = 1000ULL * 1000 * 1000 * 1000;

/// Capacity offered by another hall.
struct OfferedCapacity
{
	uint64_t tokens = 0;
	Duration term;
};

void putDemand(const std::string& _service, const ServiceDemand& _demand, wire::ServiceDemand& _row);
void putCapacity(const std::string& _service, const ServiceCapacity& _capacity, wire::ServiceCapacity& _row);

/// @returns false if the row cannot be true; it must be skipped. Values beyond the urgencies and steps of this version
/// are ignored.
bool readDemand(const wire::ServiceDemand& _row, ServiceDemand& _demand);
bool readCapacity(const wire::ServiceCapacity& _row, ServiceCapacity& _capacity);
bool readOffer(const wire::CapacityOffer& _row, OfferedCapacity& _offer);

} // namespace sedgecart

#endif // SEDGECART_HALL_CAPACITYROWS_P_H_HEADER_GUARD

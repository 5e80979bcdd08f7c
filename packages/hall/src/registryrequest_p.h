// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_HALL_REGISTRYREQUEST_P_H_HEADER_GUARD
#define SEDGECART_HALL_REGISTRYREQUEST_P_H_HEADER_GUARD

#include <cstdint>

namespace sedgecart
{

/// Number of a report that only requests the registry of nodes, from any node. Other reports count from 1.
constexpr uint64_t kRegistryRequest = UINT64_MAX;

} // namespace sedgecart

#endif // SEDGECART_HALL_REGISTRYREQUEST_P_H_HEADER_GUARD

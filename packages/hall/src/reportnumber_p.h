// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_HALL_REPORTNUMBER_P_H_HEADER_GUARD
#define SEDGECART_HALL_REPORTNUMBER_P_H_HEADER_GUARD

#include <cstdint>

namespace sedgecart
{

/// Number of a report that does not make its receiver the hub of the sender: a request for the registry of nodes, which
/// any node answers, or a probe, which asks for nothing. Other reports count from 1.
constexpr uint64_t kUncountedReport = UINT64_MAX;

} // namespace sedgecart

#endif // SEDGECART_HALL_REPORTNUMBER_P_H_HEADER_GUARD

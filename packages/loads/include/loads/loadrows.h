// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_LOADS_LOADROWS_H_HEADER_GUARD
#define SEDGECART_LOADS_LOADROWS_H_HEADER_GUARD

#include <loads/loadboard.h>

#include <google/protobuf/repeated_ptr_field.h>

namespace sedgecart
{

namespace wire
{
class FleetLoadRow;
} // namespace wire

/// Loads as nodes tell them to each other.
using LoadRows = google::protobuf::RepeatedPtrField<wire::FleetLoadRow>;

/// Writes a table behind the rows that are there. Nodes share no clock: what was heard is told by its age.
void putLoadRows(const LoadTable& _table, Time _now, LoadRows& _rows);

/// @returns the table that was written.
LoadTable loadTableOf(const LoadRows& _rows, Time _now);

} // namespace sedgecart

#endif // SEDGECART_LOADS_LOADROWS_H_HEADER_GUARD

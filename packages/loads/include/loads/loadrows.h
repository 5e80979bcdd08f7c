// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_LOADS_LOADROWS_H_HEADER_GUARD
#define SEDGECART_LOADS_LOADROWS_H_HEADER_GUARD

#include <loads/loadaggregator.h>

#include <google/protobuf/repeated_ptr_field.h>

namespace sedgecart
{

namespace wire
{
class FleetLoadRow;
} // namespace wire

/// Loads in the format in which nodes send them to each other.
using LoadRows = google::protobuf::RepeatedPtrField<wire::FleetLoadRow>;

/// Appends the rows of a table. Nodes share no clock, so that the time of an advertised rate limit is sent as its age.
void putLoadRows(const LoadTable& _table, Time _now, LoadRows& _rows);

/// @returns the table that the rows contain.
LoadTable loadTableOf(const LoadRows& _rows, Time _now);

} // namespace sedgecart

#endif // SEDGECART_LOADS_LOADROWS_H_HEADER_GUARD

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_HALL_RECORDPACK_P_H_HEADER_GUARD
#define SEDGECART_HALL_RECORDPACK_P_H_HEADER_GUARD

#include <ports/keyedlog.h>

#include <string>
#include <vector>

namespace sedgecart
{

namespace wire
{
class TopicRecord;
} // namespace wire

/// Writes a record in the format in which nodes forward it.
void putRecord(const KeyedRecord& _record, wire::TopicRecord& _out);

/// @returns the record that another node forwarded.
KeyedRecord recordOf(const wire::TopicRecord& _record);

/// @returns the records as one compressed string (wire::TopicRecords, zstd); empty if compression fails. A desired
/// state of some thousand routes that differ in little more than their names shrinks to a tenth or less.
std::string packRecords(const std::vector<KeyedRecord>& _records);

/// Unpacks the result of `packRecords`.
/// @param _records set to the records; empty if it fails.
/// @returns false if the data is malformed or would exceed 32 MB.
bool unpackRecords(const std::string& _packed, std::vector<KeyedRecord>& _records);

} // namespace sedgecart

#endif // SEDGECART_HALL_RECORDPACK_P_H_HEADER_GUARD

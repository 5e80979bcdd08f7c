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

/// Writes a record in the form in which nodes hand it on.
void putRecord(const KeyedRecord& _record, wire::TopicRecord& _out);

/// @returns the record that another node handed on.
KeyedRecord recordOf(const wire::TopicRecord& _record);

/// @returns records as one compressed text (wire::TopicRecords, zstd). A desired state of some thousand routes that
/// differ in a name and little else shrinks to a tenth and less.
std::string packRecords(const std::vector<KeyedRecord>& _records);

/// Reads what `packRecords` made.
/// @param _records set to the records; empty if it fails.
/// @returns false if the text is none, or would take more than 32 MB.
bool unpackRecords(const std::string& _packed, std::vector<KeyedRecord>& _records);

} // namespace sedgecart

#endif // SEDGECART_HALL_RECORDPACK_P_H_HEADER_GUARD

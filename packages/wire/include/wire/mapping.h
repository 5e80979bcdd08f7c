// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_WIRE_MAPPING_H_HEADER_GUARD
#define SEDGECART_WIRE_MAPPING_H_HEADER_GUARD

#include <base/configchange.h>

namespace sedgecart
{

namespace wire
{
class ConfigRecord;
} // namespace wire

/// @returns the change as it stands in the log.
wire::ConfigRecord toWire(const ConfigChange& _change);

/// @param _change set to what the record says.
/// @returns false if the record names a verb or kind that this version does not know.
bool fromWire(const wire::ConfigRecord& _record, ConfigChange& _change);

} // namespace sedgecart

#endif // SEDGECART_WIRE_MAPPING_H_HEADER_GUARD

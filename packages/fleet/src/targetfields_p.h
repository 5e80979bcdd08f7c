// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_FLEET_TARGETFIELDS_P_H_HEADER_GUARD
#define SEDGECART_FLEET_TARGETFIELDS_P_H_HEADER_GUARD

#include <base/runner.h>
#include <logging/logging.h>

#include <string>
#include <vector>

namespace sedgecart
{

/// @returns layers as they stand in a log line.
std::string layersText(LayerSpan _span);

/// @returns the fields of a target's record for a log line.
std::vector<LogField> targetFields(const RunnerRecord& _record);

} // namespace sedgecart

#endif // SEDGECART_FLEET_TARGETFIELDS_P_H_HEADER_GUARD

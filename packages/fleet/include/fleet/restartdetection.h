// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_FLEET_RESTARTDETECTION_H_HEADER_GUARD
#define SEDGECART_FLEET_RESTARTDETECTION_H_HEADER_GUARD

#include <base/targetincarnation.h>

namespace sedgecart
{

struct ProbeAnswer;
struct TargetLoad;

/// Detects a restart of a target from the start time in its answer to a probe. Marks the probed incarnation as ended if
/// a later one answered, often a second before the registry shows the restart.
/// @param _probed incarnation that the registry showed when the probe was sent.
/// @returns true if the probed incarnation has ended: the answer does not describe it.
bool detectRestart(const TargetIncarnation& _probed, const ProbeAnswer& _answer, TargetLoad& _load);

} // namespace sedgecart

#endif // SEDGECART_FLEET_RESTARTDETECTION_H_HEADER_GUARD

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_FLEET_TARGETFIT_H_HEADER_GUARD
#define SEDGECART_FLEET_TARGETFIT_H_HEADER_GUARD

#include <base/recordfault.h>

namespace sedgecart
{

struct LayerSpan;
struct RunnerRecord;
struct ServiceSpec;

/// @returns true if a model can have these layers.
bool isSpanOf(const ServiceSpec& _service, LayerSpan _span);

/// Judges a target's entry, sound by itself, by what the desired state says of its service.
/// @param _service null if the desired state does not name it.
/// @returns why the entry names no target to use; RecordFault::None: it does.
RecordFault::Enum fitFault(const ServiceSpec* _service, const RunnerRecord& _record);

} // namespace sedgecart

#endif // SEDGECART_FLEET_TARGETFIT_H_HEADER_GUARD

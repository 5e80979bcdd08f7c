// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_FLEET_TARGETRECORDCHECK_H_HEADER_GUARD
#define SEDGECART_FLEET_TARGETRECORDCHECK_H_HEADER_GUARD

#include <base/recordfault.h>

namespace sedgecart
{

struct LayerSpan;
struct RunnerRecord;
struct ServiceSpec;

/// @returns true if the span lies within the layers of the service's model.
bool isValidSpan(const ServiceSpec& _service, LayerSpan _span);

/// @returns true if the target's accelerator has the memory for these layers of its service's model. A target that is
/// ordered to hold more fails.
bool fitsMemory(const ServiceSpec& _service, const RunnerRecord& _target, LayerSpan _layers);

/// Checks a target's record, valid by itself, against the desired state of its service.
/// @param _service null if the desired state does not contain it.
/// @returns why the target cannot be used; RecordFault::None: it can.
RecordFault::Enum checkTargetRecord(const ServiceSpec* _service, const RunnerRecord& _record);

} // namespace sedgecart

#endif // SEDGECART_FLEET_TARGETRECORDCHECK_H_HEADER_GUARD

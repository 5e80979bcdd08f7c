// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <fleet/targetrecordcheck.h>

#include <base/desiredstate.h>
#include <base/runner.h>

namespace sedgecart
{

bool isValidSpan(const ServiceSpec& _service, LayerSpan _span)
{
	return _span.begin <= _span.end && _span.end <= _service.engine.layers;
}

bool fitsMemory(const ServiceSpec& _service, const RunnerRecord& _target, LayerSpan _layers)
{
	const AcceleratorKind* const card = findAcceleratorKind(_service.engine, _target.accelerator);
	return nullptr != card && _layers.size() * _service.engine.layerMb <= card->memoryMb;
}

RecordFault::Enum checkTargetRecord(const ServiceSpec* _service, const RunnerRecord& _record)
{
	if (nullptr == _service)
	{
		return RecordFault::UnknownService;
	}
	if (!_service->hasEngine)
	{
		return RecordFault::None;
	}
	if (_record.accelerator.empty())
	{
		return RecordFault::FieldMissing;
	}
	const bool isKnown = nullptr != findAcceleratorKind(_service->engine, _record.accelerator);
	return isKnown && isValidSpan(*_service, _record.layers) ? RecordFault::None : RecordFault::AbsurdValue;
}

} // namespace sedgecart

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <base/desiredstate.h>

namespace sedgecart
{

const AcceleratorKind* findAcceleratorKind(const EngineSpec& _engine, const std::string& _name)
{
	for (const AcceleratorKind& kind : _engine.acceleratorKinds)
	{
		if (_name == kind.name)
		{
			return &kind;
		}
	}
	return nullptr;
}

} // namespace sedgecart

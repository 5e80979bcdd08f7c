// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <base/desiredstate.h>

namespace sedgecart
{

const CardKind* findKind(const EngineSpec& _engine, const std::string& _name)
{
	for (const CardKind& kind : _engine.kinds)
	{
		if (_name == kind.name)
		{
			return &kind;
		}
	}
	return nullptr;
}

} // namespace sedgecart

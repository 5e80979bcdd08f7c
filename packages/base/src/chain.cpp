// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <base/chain.h>

namespace sedgecart
{

std::string chainText(const Chain& _chain)
{
	std::string text;
	for (const ChainStage& stage : _chain.stages)
	{
		text += (text.empty() ? "" : ">") + stage.name;
	}
	return text;
}

} // namespace sedgecart

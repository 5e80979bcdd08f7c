// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_LAYOUT_SPANTEXT_P_H_HEADER_GUARD
#define SEDGECART_LAYOUT_SPANTEXT_P_H_HEADER_GUARD

#include <base/runner.h>

#include <string>
#include <vector>

namespace sedgecart
{

/// @returns a range of layers in the format of the logs: "20-40" for 20 up to, not including, 40.
inline std::string spanText(LayerSpan _span)
{
	return std::to_string(_span.begin) + "-" + std::to_string(_span.end);
}

/// @returns several ranges, separated by commas.
inline std::string spansText(const std::vector<LayerSpan>& _spans)
{
	std::string text;
	for (const LayerSpan span : _spans)
	{
		text += (text.empty() ? "" : ",") + spanText(span);
	}
	return text;
}

} // namespace sedgecart

#endif // SEDGECART_LAYOUT_SPANTEXT_P_H_HEADER_GUARD

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "targetfields_p.h"

namespace sedgecart
{

std::string layersText(LayerSpan _span)
{
	return std::to_string(_span.begin) + "-" + std::to_string(_span.end);
}

std::vector<LogField> targetFields(const RunnerRecord& _record)
{
	return {{"target", _record.instance.text},
	        {"service", _record.service},
	        {"address", _record.address},
	        {"hall", _record.hall},
	        {"card", _record.accelerator},
	        {"draining", _record.draining ? "true" : "false"},
	        {"layers", layersText(_record.layers)},
	        {"born", std::to_string(_record.startTime.unixMillis)},
	        {"sequence", std::to_string(_record.sequence.value)}};
}

} // namespace sedgecart

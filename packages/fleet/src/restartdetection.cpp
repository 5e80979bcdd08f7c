// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <fleet/restartdetection.h>

#include <fleet/fleetview.h>
#include <logging/logging.h>
#include <ports/runnerorders.h>

namespace sedgecart
{

bool detectRestart(const TargetIncarnation& _probed, const ProbeAnswer& _answer, TargetLoad& _load)
{
	const TargetIncarnation answering{_probed.instance, _answer.startTime};
	if (IncarnationOrder::Newer != compareIncarnations(_probed, answering, ReportTiming::Later))
	{
		return false;
	}
	if (!_load.ended.exchange(true, std::memory_order_relaxed))
	{
		logEvent(LogPart::Targets, LogLevel::Warning, "Target reports that it has restarted.",
		         {{"target", _probed.instance.text},
		          {"born", std::to_string(_answer.startTime.unixMillis)},
		          {"born_before", std::to_string(_probed.startTime.unixMillis)}});
	}
	return true;
}

} // namespace sedgecart

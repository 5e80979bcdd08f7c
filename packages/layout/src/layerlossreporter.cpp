// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <layout/layerlossreporter.h>

#include "spantext_p.h"

#include <logging/logging.h>
#include <metrics/metrics.h>

namespace sedgecart
{

void LayerLossReporter::update(uint32_t _layers, const std::vector<RunnerRecord>& _records, Time _now)
{
	layers_ = 0 < _layers ? _layers : layers_;
	LayerLosses::Holdings holdings;
	for (const RunnerRecord& record : _records)
	{
		holdings[record.hall].push_back(record.layers);
	}
	for (const LayerLossUpdate& update : losses_.update(layers_, holdings, _now))
	{
		report(update);
	}
}

void LayerLossReporter::report(const LayerLossUpdate& _update) const
{
	logEvent(LogPart::Layout, _update.ends ? LogLevel::Info : LogLevel::Warning,
	         _update.ends ? "Layers are held again." : "Layers have no holder.",
	         {{"service", service_},
	          {"hall", _update.hall},
	          {"layers", spansText(_update.layers)},
	          {"ms", std::to_string(_update.lasted.millis())}});
	if (_update.ends && nullptr != metrics_)
	{
		metrics_->add(Counter::LayerLosses);
		metrics_->observe(Timing::LayerLoss, _update.lasted);
	}
}

} // namespace sedgecart

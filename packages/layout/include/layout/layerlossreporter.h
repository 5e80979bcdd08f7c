// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_LAYOUT_LAYERLOSSREPORTER_H_HEADER_GUARD
#define SEDGECART_LAYOUT_LAYERLOSSREPORTER_H_HEADER_GUARD

#include <core/layerlosses.h>

#include <cstdint>
#include <vector>

namespace sedgecart
{

class Metrics;
struct RunnerRecord;

/// Logs when layers of a service lose their last holder in a data hall and when they have one again. Without it,
/// requests that fail because no chain is complete cannot be distinguished from requests that fail for lack of
/// capacity.
class LayerLossReporter
{
public:
	explicit LayerLossReporter(const std::string& _service) : service_(_service)
	{
	}

	/// Sets where losses are counted from now on.
	/// @param _metrics null: nowhere.
	void setMetrics(Metrics* _metrics)
	{
		metrics_ = _metrics;
	}

	/// Compares the layers held with those at the last call, and reports what was lost or restored.
	/// @param _layers number of layers of the model; 0 if there are no targets, which counts as all layers lost.
	/// @param _records registry records of the targets that are known to hold the layers they show.
	void update(uint32_t _layers, const std::vector<RunnerRecord>& _records, Time _now);

private:
	void report(const LayerLossUpdate& _update) const;

	std::string service_;
	LayerLosses losses_;
	uint32_t layers_ = 0; //!< Number of layers of the last known model.
	Metrics* metrics_ = nullptr;
};

} // namespace sedgecart

#endif // SEDGECART_LAYOUT_LAYERLOSSREPORTER_H_HEADER_GUARD

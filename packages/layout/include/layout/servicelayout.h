// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_LAYOUT_SERVICELAYOUT_H_HEADER_GUARD
#define SEDGECART_LAYOUT_SERVICELAYOUT_H_HEADER_GUARD

#include <base/units.h>
#include <core/layoutplan.h>
#include <layout/layerlossreporter.h>

#include <string>
#include <vector>

namespace sedgecart
{

class Metrics;
struct LayoutSnapshot;

/// Plans the layout of one service. Each service has a model of its own, so that nothing here is shared with others: a
/// layout planned over the targets of several services would order layers of one model's size to targets of another.
class ServiceLayout
{
public:
	explicit ServiceLayout(const std::string& _service);

	/// @param _metrics null: losses of layers are not counted.
	void setMetrics(Metrics* _metrics)
	{
		lossReporter_.setMetrics(_metrics);
	}

	/// Reports which layers were lost or restored since the last call.
	void reportLosses(const LayoutSnapshot& _snapshot, Time _now);

	/// @param _changedAt when a target of the service last arrived, restarted or left.
	/// @returns the orders that its targets need.
	std::vector<LayoutOrder> wantedOrders(const LayoutSnapshot& _snapshot, const LayoutPolicy& _policy, Time _changedAt,
	                                      Time _now);

private:
	void updateHole(const LayoutSnapshot& _snapshot, const LayoutPolicy& _policy, bool _isUnrepaired, Time _now);

	LayerLossReporter lossReporter_;
	Time holeSince_; //!< Since when only a shift of borders could repair the layout; 0: no need.
};

} // namespace sedgecart

#endif // SEDGECART_LAYOUT_SERVICELAYOUT_H_HEADER_GUARD

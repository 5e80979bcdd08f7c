// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_CORE_ORDERSAFETY_P_H_HEADER_GUARD
#define SEDGECART_CORE_ORDERSAFETY_P_H_HEADER_GUARD

#include <core/layoutplan.h>

#include <vector>

namespace sedgecart
{

/// Checks whether orders to targets in use are safe for running requests. A target that is ordered to hold other layers
/// immediately stops serving the layers that it unloads, and ends requests whose memory the new layers need.
class OrderSafety
{
public:
	/// @param _targets current state; must outlive this object.
	OrderSafety(const EngineSpec& _engine, const std::vector<LayoutTarget>& _targets);

	/// @returns true if all running requests keep their memory and every layer that is served now is still served once
	/// the targets start to execute the orders. If some layer is not held in any hall, no request can run, and only
	/// memory is checked.
	bool allows(const std::vector<LayoutOrder>& _orders) const;

private:
	bool leavesMemory(const LayoutOrder& _order) const;
	bool keepsLayersServed(const std::vector<LayoutOrder>& _orders) const;
	bool isChainBroken() const;

	const EngineSpec& engine_;
	const std::vector<LayoutTarget>& targets_;
	bool isChainBroken_; //!< Some layer is neither served nor ordered from any target.
};

} // namespace sedgecart

#endif // SEDGECART_CORE_ORDERSAFETY_P_H_HEADER_GUARD

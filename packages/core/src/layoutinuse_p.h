// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_CORE_LAYOUTINUSE_P_H_HEADER_GUARD
#define SEDGECART_CORE_LAYOUTINUSE_P_H_HEADER_GUARD

#include <core/layoutplan.h>

#include <vector>

namespace sedgecart
{

/// What orders to targets in use must leave as it is. A target that is ordered to hold other layers stops at once to
/// serve those that it gives up, and ends requests whose memory its new layers take.
class LayoutInUse
{
public:
	/// @param _targets as they are now; must outlive it.
	LayoutInUse(const EngineSpec& _engine, const std::vector<LayoutTarget>& _targets);

	/// @returns true if all requests under way keep their memory, and every layer that is served still is, once the
	/// orders have begun. Where a layer is lost to all halls nothing passes, and only memory counts.
	bool allows(const std::vector<LayoutOrder>& _orders) const;

private:
	bool leavesRoom(const LayoutOrder& _order) const;
	bool leavesHolders(const std::vector<LayoutOrder>& _orders) const;
	bool isChainBroken() const;

	const EngineSpec& engine_;
	const std::vector<LayoutTarget>& targets_;
	bool broken_; //!< Some layer is neither served nor about to be.
};

} // namespace sedgecart

#endif // SEDGECART_CORE_LAYOUTINUSE_P_H_HEADER_GUARD

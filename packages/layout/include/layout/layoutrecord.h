// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_LAYOUT_LAYOUTRECORD_H_HEADER_GUARD
#define SEDGECART_LAYOUT_LAYOUTRECORD_H_HEADER_GUARD

#include <base/recordfault.h>
#include <base/runner.h>
#include <core/trackedorder.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace sedgecart
{

/// Assigns layers to a target, which is to hold these and no others.
struct LayoutHoldRecord
{
	InstanceId target;
	StartTime startTime; //!< Identifies the target's incarnation.
	LayerSpan layers;
};

/// The state of an earlier order, for nodes that have not read the record that issued it or have older information.
/// Times are durations, since nodes share no clock.
struct ReportedOrder
{
	LayoutHoldRecord hold;
	Offset fence;
	OrderPhase::Enum phase = OrderPhase::Ordered;
	LayoutOrderState::Enum reason = LayoutOrderState::Unknown; //!< Reason of a refusal.
	Duration age;                                              //!< Time since the order was issued.
	Duration timeLeft;                                         //!< How long the order stays in effect on the author.
	Duration loadTime; //!< Time to load the new layers when no other load runs at the same time.
};

/// A parsed record of the layout topic: one change of the layout.
struct LayoutRecord
{
	std::string author; //!< Incarnation of the node that sends the orders.
	std::vector<LayoutHoldRecord> holds;
	std::vector<ReportedOrder> reportedOrders; //!< Earlier orders that are active or were refused recently.
	uint32_t skipped = 0; //!< Holds and orders skipped because they name no target or contain invalid values.
};

/// What a change leaves out so that it fits into one record of the store.
struct OmittedOrders
{
	std::size_t holds = 0;
	std::size_t reportedOrders = 0;
};

/// Maximum size of a layout change in bytes: the store takes records of 256 KB.
constexpr std::size_t kMaxLayoutBytes = 240UL * 1024;

/// Removes what does not fit into one record: holds take at most three quarters of it, earlier orders the rest. The
/// plan contains the omitted holds again once this change is in effect.
OmittedOrders fitLayoutRecord(LayoutRecord& _record);

/// @returns the record in the serialized form of the layout topic.
std::string writeLayoutRecord(const LayoutRecord& _record);

/// Parses a record of the layout topic. Does not check whether the model has the layers.
/// @param _record set if there is no fault.
/// @returns why the record is not a valid layout change; RecordFault::None if it is.
RecordFault::Enum readLayoutRecord(const std::string& _text, LayoutRecord& _record);

} // namespace sedgecart

#endif // SEDGECART_LAYOUT_LAYOUTRECORD_H_HEADER_GUARD

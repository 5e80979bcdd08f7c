// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_ENTRY_LAYOUTRECORD_P_H_HEADER_GUARD
#define SEDGECART_ENTRY_LAYOUTRECORD_P_H_HEADER_GUARD

#include <base/recordfault.h>
#include <base/runner.h>

#include <cstdint>
#include <string>
#include <vector>

namespace sedgecart
{

/// A target is to hold these layers and no others.
struct LayoutHoldRecord
{
	InstanceId target;
	BirthTime born; //!< Of the start of the target that is meant.
	LayerSpan layers;
};

/// A change of the layout, as it was read.
struct LayoutRecord
{
	std::string author; //!< Incarnation of the node that sends the orders.
	std::vector<LayoutHoldRecord> holds;
	uint32_t passedOver = 0; //!< Holds that name no target, or layers that end before they begin.
};

/// Reads a record of the layout's topic. Whether a model has the layers is not looked at.
/// @param _record set if there is no fault.
/// @returns why the record is no change of the layout; RecordFault::None: it is.
RecordFault::Enum readLayoutRecord(const std::string& _text, LayoutRecord& _record);

} // namespace sedgecart

#endif // SEDGECART_ENTRY_LAYOUTRECORD_P_H_HEADER_GUARD

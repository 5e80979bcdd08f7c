// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "layoutrecord_p.h"

#include <wire/boundedparse.h>
#include <wire/sedgecart.pb.h>

#include <algorithm>

namespace sedgecart
{

namespace
{

/// What a change may take: four fields for each of some ten thousand targets, and what later versions may add.
constexpr ParseBound kBound{4UL * 1024 * 1024, 100000};

} // namespace

RecordFault::Enum readLayoutRecord(const std::string& _text, LayoutRecord& _record)
{
	if (kBound.bytes < _text.size())
	{
		return RecordFault::TooLarge;
	}
	wire::LayoutChange change;
	if (!parseBounded(_text, kBound, change))
	{
		return RecordFault::Unreadable;
	}
	if (change.author().empty())
	{
		return RecordFault::FieldMissing;
	}
	_record = LayoutRecord{change.author(), {}, 0};
	for (const wire::LayoutHold& hold : change.holds())
	{
		if (hold.target().empty() || hold.end() < hold.begin())
		{
			++_record.passedOver;
			continue;
		}
		const BirthTime born{std::max<int64_t>(0, hold.born())};
		_record.holds.push_back(LayoutHoldRecord{InstanceId{hold.target()}, born, LayerSpan{hold.begin(), hold.end()}});
	}
	return RecordFault::None;
}

} // namespace sedgecart

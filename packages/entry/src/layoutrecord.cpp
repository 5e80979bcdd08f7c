// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "layoutrecord_p.h"

#include <wire/boundedparse.h>
#include <wire/sedgecart.pb.h>

#include <google/protobuf/unknown_field_set.h>

#include <algorithm>

namespace sedgecart
{

namespace
{

/// What a change may take: ten fields for each of some thousand targets, and what later versions may add.
constexpr ParseBound kBound{4UL * 1024 * 1024, 100000};

/// What is told of one order may take: its fields, and what later versions may add.
constexpr ParseBound kToldBound{1024, 32};

/// Orders that a record may tell of: more than there are targets in a fleet.
constexpr std::size_t kMostTold = 10000;

/// Field of LayoutChange that holds a LayoutHold for each earlier order. Older versions of the program pass it over.
constexpr int kToldField = 3;

/// Longest time that a record can tell of an order, an hour: beyond any load, and sums of it fit.
constexpr uint64_t kMostMillis = 3600UL * 1000;

/// Further fields of a LayoutHold there.
struct ToldField
{
	enum Enum
	{
		Fence = 5,
		AgeMs = 6,
		Phase = 7,
		Reason = 8,
		LeftMs = 9,
		LoadMs = 10,
	};
};

using google::protobuf::UnknownField;
using google::protobuf::UnknownFieldSet;

bool isSound(const wire::LayoutHold& _hold)
{
	return !_hold.target().empty() && _hold.begin() <= _hold.end();
}

LayoutHoldRecord holdOf(const wire::LayoutHold& _hold)
{
	const BirthTime born{std::max<int64_t>(0, _hold.born())};
	return LayoutHoldRecord{InstanceId{_hold.target()}, born, LayerSpan{_hold.begin(), _hold.end()}};
}

void fill(const LayoutHoldRecord& _record, wire::LayoutHold& _hold)
{
	_hold.set_target(_record.target.text);
	_hold.set_born(_record.born.unixMillis);
	_hold.set_begin(_record.layers.begin);
	_hold.set_end(_record.layers.end);
}

/// @returns a further field, 0 if it is not there.
uint64_t numberOf(const UnknownFieldSet& _fields, ToldField::Enum _field)
{
	uint64_t number = 0;
	for (int index = 0; index < _fields.field_count(); ++index)
	{
		const UnknownField& field = _fields.field(index);
		const bool isIt = _field == field.number() && UnknownField::TYPE_VARINT == field.type();
		number = isIt ? field.varint() : number;
	}
	return number;
}

Duration millisOf(const UnknownFieldSet& _fields, ToldField::Enum _field)
{
	return Duration::fromMillis(static_cast<int64_t>(std::min(kMostMillis, numberOf(_fields, _field))));
}

/// @returns false if it can be no order.
bool readTold(const std::string& _text, ToldOrder& _told)
{
	wire::LayoutHold hold;
	if (!parseBounded(_text, kToldBound, hold) || !isSound(hold))
	{
		return false;
	}
	const UnknownFieldSet& fields = hold.GetReflection()->GetUnknownFields(hold);
	const uint64_t phase = numberOf(fields, ToldField::Phase);
	const uint64_t reason = numberOf(fields, ToldField::Reason);
	if (OrderPhase::Refused < phase || LayoutOrderState::Count <= reason)
	{
		return false;
	}
	_told.hold = holdOf(hold);
	_told.fence = Offset{numberOf(fields, ToldField::Fence)};
	_told.phase = static_cast<OrderPhase::Enum>(phase);
	_told.reason = static_cast<LayoutOrderState::Enum>(reason);
	_told.age = millisOf(fields, ToldField::AgeMs);
	_told.left = millisOf(fields, ToldField::LeftMs);
	_told.load = millisOf(fields, ToldField::LoadMs);
	return true;
}

std::string textOf(const ToldOrder& _told)
{
	wire::LayoutHold hold;
	fill(_told.hold, hold);
	UnknownFieldSet& fields = *hold.GetReflection()->MutableUnknownFields(&hold);
	fields.AddVarint(ToldField::Fence, _told.fence.value);
	fields.AddVarint(ToldField::AgeMs, static_cast<uint64_t>(std::max<int64_t>(0, _told.age.millis())));
	fields.AddVarint(ToldField::Phase, _told.phase);
	fields.AddVarint(ToldField::Reason, _told.reason);
	fields.AddVarint(ToldField::LeftMs, static_cast<uint64_t>(std::max<int64_t>(0, _told.left.millis())));
	fields.AddVarint(ToldField::LoadMs, static_cast<uint64_t>(std::max<int64_t>(0, _told.load.millis())));
	return hold.SerializeAsString();
}

void readAllTold(const wire::LayoutChange& _change, LayoutRecord& _record)
{
	const UnknownFieldSet& fields = _change.GetReflection()->GetUnknownFields(_change);
	for (int index = 0; index < fields.field_count(); ++index)
	{
		const UnknownField& field = fields.field(index);
		if (kToldField != field.number() || UnknownField::TYPE_LENGTH_DELIMITED != field.type())
		{
			continue;
		}
		ToldOrder told;
		if (_record.told.size() < kMostTold && readTold(field.length_delimited(), told))
		{
			_record.told.push_back(told);
		}
		else
		{
			++_record.passedOver;
		}
	}
}

} // namespace

std::string writeLayoutRecord(const LayoutRecord& _record)
{
	wire::LayoutChange change;
	change.set_author(_record.author);
	for (const LayoutHoldRecord& hold : _record.holds)
	{
		fill(hold, *change.add_holds());
	}
	UnknownFieldSet& fields = *change.GetReflection()->MutableUnknownFields(&change);
	for (const ToldOrder& told : _record.told)
	{
		fields.AddLengthDelimited(kToldField, textOf(told));
	}
	return change.SerializeAsString();
}

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
	_record = LayoutRecord{change.author(), {}, {}, 0};
	for (const wire::LayoutHold& hold : change.holds())
	{
		if (isSound(hold))
		{
			_record.holds.push_back(holdOf(hold));
		}
		else
		{
			++_record.passedOver;
		}
	}
	readAllTold(change, _record);
	return RecordFault::None;
}

} // namespace sedgecart

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <layout/layoutrecord.h>

#include <wire/boundedparse.h>
#include <wire/sedgecart.pb.h>

#include <algorithm>

namespace sedgecart
{

namespace
{

/// Limits of a layout change in bytes and fields: ten fields for each of some thousand targets, with a reserve for
/// fields that later versions may add.
constexpr ParseBound kChangeBound{4UL * 1024 * 1024, 100000};

/// Limits of one reported order in bytes and fields: its fields, with a reserve for fields that later versions may add.
constexpr ParseBound kReportedOrderBound{1024, 32};

/// Maximum number of reported orders in a record: more than there are targets in a fleet.
constexpr std::size_t kMaxReportedOrders = 10000;

/// Maximum duration that is accepted from a record, one hour: longer than any load, and sums of it cannot overflow.
constexpr uint64_t kMaxMillis = 3600UL * 1000;

bool isValid(const wire::LayoutHold& _hold)
{
	return !_hold.target().empty() && _hold.begin() <= _hold.end();
}

LayoutHoldRecord holdOf(const wire::LayoutHold& _hold)
{
	const StartTime startTime{std::max<int64_t>(0, _hold.born())};
	return LayoutHoldRecord{InstanceId{_hold.target()}, startTime, LayerSpan{_hold.begin(), _hold.end()}};
}

void fill(const LayoutHoldRecord& _record, wire::LayoutHold& _hold)
{
	_hold.set_target(_record.target.text);
	_hold.set_born(_record.startTime.unixMillis);
	_hold.set_begin(_record.layers.begin);
	_hold.set_end(_record.layers.end);
}

Duration durationOf(uint64_t _millis)
{
	return Duration::fromMillis(static_cast<int64_t>(std::min(kMaxMillis, _millis)));
}

uint64_t millisOf(Duration _duration)
{
	return static_cast<uint64_t>(std::max<int64_t>(0, _duration.millis()));
}

/// @returns false if the text is not a valid order.
bool readReportedOrder(const std::string& _text, ReportedOrder& _reported)
{
	wire::LayoutHold hold;
	if (!parseBounded(_text, kReportedOrderBound, hold) || !isValid(hold))
	{
		return false;
	}
	if (OrderPhase::Refused < hold.phase() || LayoutOrderState::Count <= hold.reason())
	{
		return false;
	}
	_reported.hold = holdOf(hold);
	_reported.fence = Offset{hold.fence()};
	_reported.phase = static_cast<OrderPhase::Enum>(hold.phase());
	_reported.reason = static_cast<LayoutOrderState::Enum>(hold.reason());
	_reported.age = durationOf(hold.age_ms());
	_reported.timeLeft = durationOf(hold.left_ms());
	_reported.loadTime = durationOf(hold.load_ms());
	return true;
}

std::string textOf(const ReportedOrder& _reported)
{
	wire::LayoutHold hold;
	fill(_reported.hold, hold);
	hold.set_fence(_reported.fence.value);
	hold.set_age_ms(millisOf(_reported.age));
	hold.set_phase(_reported.phase);
	hold.set_reason(_reported.reason);
	hold.set_left_ms(millisOf(_reported.timeLeft));
	hold.set_load_ms(millisOf(_reported.loadTime));
	return hold.SerializeAsString();
}

/// Bytes of a hold or a reported order beside its fields: the field's number and the length.
constexpr std::size_t kFramingBytes = 4;

/// Part of a record that holds may take.
constexpr std::size_t kMaxHoldBytes = kMaxLayoutBytes / 4 * 3;

std::size_t sizeOf(const LayoutHoldRecord& _record)
{
	wire::LayoutHold hold;
	fill(_record, hold);
	return hold.ByteSizeLong() + kFramingBytes;
}

std::size_t sizeOf(const ReportedOrder& _reported)
{
	return textOf(_reported).size() + kFramingBytes;
}

/// Removes the last rows that do not fit.
/// @param _left bytes that are left for the rows; reduced by what they take.
/// @returns the number of rows that were removed.
template <typename Row> std::size_t fitRows(std::vector<Row>& _rows, std::size_t& _left)
{
	std::size_t count = 0;
	for (; count < _rows.size() && sizeOf(_rows[count]) <= _left; ++count)
	{
		_left -= sizeOf(_rows[count]);
	}
	const std::size_t removed = _rows.size() - count;
	_rows.erase(_rows.begin() + static_cast<std::ptrdiff_t>(count), _rows.end());
	return removed;
}

void readReportedOrders(const wire::LayoutChange& _change, LayoutRecord& _record)
{
	for (const std::string& text : _change.told())
	{
		ReportedOrder reported;
		if (_record.reportedOrders.size() < kMaxReportedOrders && readReportedOrder(text, reported))
		{
			_record.reportedOrders.push_back(reported);
		}
		else
		{
			++_record.skipped;
		}
	}
}

} // namespace

OmittedOrders fitLayoutRecord(LayoutRecord& _record)
{
	std::size_t left = kMaxLayoutBytes - std::min(kMaxLayoutBytes, _record.author.size() + kFramingBytes);
	const std::size_t reserved = left - std::min(left, kMaxHoldBytes);
	left -= reserved;
	OmittedOrders omitted;
	omitted.holds = fitRows(_record.holds, left);
	left += reserved;
	// Refusals are known to nobody else; active orders also show in the targets' records before long.
	std::stable_partition(_record.reportedOrders.begin(), _record.reportedOrders.end(),
	                      [](const ReportedOrder& _reported)
	                      {
		                      return OrderPhase::Refused == _reported.phase;
	                      });
	omitted.reportedOrders = fitRows(_record.reportedOrders, left);
	return omitted;
}

std::string writeLayoutRecord(const LayoutRecord& _record)
{
	wire::LayoutChange change;
	change.set_author(_record.author);
	for (const LayoutHoldRecord& hold : _record.holds)
	{
		fill(hold, *change.add_holds());
	}
	for (const ReportedOrder& reported : _record.reportedOrders)
	{
		change.add_told(textOf(reported));
	}
	return change.SerializeAsString();
}

RecordFault::Enum readLayoutRecord(const std::string& _text, LayoutRecord& _record)
{
	if (kChangeBound.bytes < _text.size())
	{
		return RecordFault::TooLarge;
	}
	wire::LayoutChange change;
	if (!parseBounded(_text, kChangeBound, change))
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
		if (isValid(hold))
		{
			_record.holds.push_back(holdOf(hold));
		}
		else
		{
			++_record.skipped;
		}
	}
	readReportedOrders(change, _record);
	return RecordFault::None;
}

} // namespace sedgecart

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <core/recordorder.h>

#include <base/runner.h>

#include <algorithm>

namespace sedgecart
{

namespace
{

/// Number of newer records in a row of an earlier start, with none of the later one in between, by which the earlier
/// one is found to run. Records of targets lapse after as many missed reports.
constexpr uint32_t kRecordsOfRunningStart = 3;

} // namespace

bool RecordOrder::isOutdated(const RunnerRecord& _record, Time _now)
{
	dropExpired(_now);
	const Start start{_record.startTime, _record.address};
	const auto known = rows_.try_emplace(_record.instance.text, Row{start, RecordSequence{}, Time{}, {}});
	Row& row = known.first->second;
	dropExpired(row.endedStarts, _now);
	if (isEnded(row, start, _record.sequence))
	{
		return true;
	}
	if (!isSame(row.start, start))
	{
		setStart(row, start, _now);
	}
	const bool isPending = _now < row.until;
	if (isPending && _record.sequence.isKnown() && _record.sequence < row.sequence)
	{
		return true;
	}
	row.start.time = start.time.isKnown() ? start.time : row.start.time;
	row.sequence = _record.sequence.isKnown() ? _record.sequence : row.sequence;
	row.until = _now + kPendingWriteLimit;
	for (EndedStart& ended : row.endedStarts)
	{
		ended.records = 0;
	}
	return false;
}

bool RecordOrder::isSame(const Start& _a, const Start& _b)
{
	return _a.time.isKnown() && _b.time.isKnown() ? _a.time == _b.time : _a.address == _b.address;
}

/// @returns true if a start has been replaced and is not found to run.
bool RecordOrder::isEnded(Row& _row, const Start& _start, RecordSequence _sequence)
{
	const auto ended = std::find_if(_row.endedStarts.begin(), _row.endedStarts.end(),
	                                [&_start](const EndedStart& _ended)
	                                {
		                                return isSame(_ended.start, _start);
	                                });
	if (_row.endedStarts.end() == ended)
	{
		return false;
	}
	if (ended->sequence < _sequence)
	{
		ended->sequence = _sequence;
		++ended->records;
	}
	return ended->records < kRecordsOfRunningStart;
}

/// Replaces the current start of a target.
void RecordOrder::setStart(Row& _row, const Start& _start, Time _now)
{
	const auto isReplacing = [&_start](const EndedStart& _ended)
	{
		return isSame(_ended.start, _start);
	};
	const auto end = std::remove_if(_row.endedStarts.begin(), _row.endedStarts.end(), isReplacing);
	_row.endedStarts.erase(end, _row.endedStarts.end());
	_row.endedStarts.push_back(EndedStart{_row.start, _row.sequence, 0, _now + kPendingWriteLimit});
	_row.start = _start;
	_row.sequence = RecordSequence{};
}

void RecordOrder::dropExpired(std::vector<EndedStart>& _starts, Time _now)
{
	const auto isExpired = [_now](const EndedStart& _ended)
	{
		return !(_now < _ended.until);
	};
	_starts.erase(std::remove_if(_starts.begin(), _starts.end(), isExpired), _starts.end());
}

/// Drops the targets without a record for `kPendingWriteLimit`. Looks at all of them only once in that time.
void RecordOrder::dropExpired(Time _now)
{
	if (_now < nextDrop_)
	{
		return;
	}
	nextDrop_ = _now + kPendingWriteLimit;
	for (auto row = rows_.begin(); rows_.end() != row;)
	{
		row = row->second.until < _now ? rows_.erase(row) : std::next(row);
	}
}

} // namespace sedgecart

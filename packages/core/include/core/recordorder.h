// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_CORE_RECORDORDER_H_HEADER_GUARD
#define SEDGECART_CORE_RECORDORDER_H_HEADER_GUARD

#include <base/recordsequence.h>
#include <base/starttime.h>
#include <base/units.h>

#include <cstddef>
#include <string>
#include <unordered_map>
#include <vector>

namespace sedgecart
{

struct RunnerRecord;

/// Detects records of targets that the store took later than records which their targets wrote after them. A write that
/// got no answer may be carried out seconds later: by its offset such a record is the newest, and would return a target
/// that is leaving to use.
///
/// A target's sequence orders the records of one start. Starts of an instance are told apart by their start times, or
/// by their addresses where one of them reports no start time. Two starts at one address that report none cannot be
/// told apart: the records of the second are ignored until no write of the first can be pending. An earlier start that
/// keeps writing while the later one does not is current again: the other record was wrong.
///
/// Knows a target beyond the removal of its record, since a late write may also follow that. Not thread-safe.
class RecordOrder
{
public:
	/// How long a write may remain pending at the store. A record with a smaller sequence that comes later than this
	/// belongs to a target that counts anew, or the larger sequence was wrong.
	static constexpr Duration kPendingWriteLimit = Duration::fromMillis(10000);

	/// Takes the next record of the topic. `_now` never decreases.
	/// @returns true if the target wrote the record before one that was taken earlier, or before it was restarted.
	bool isOutdated(const RunnerRecord& _record, Time _now);

	/// @returns the number of targets of which a record is known.
	std::size_t size() const
	{
		return rows_.size();
	}

private:
	/// What tells one start of a target from another.
	struct Start
	{
		StartTime time;
		std::string address;
	};

	/// A start of a target that a later one has replaced.
	struct EndedStart
	{
		Start start;
		RecordSequence sequence; //!< Of its newest record.
		uint32_t records = 0;    //!< Newer ones of it in a row, with none of the current start in between.
		Time until;              //!< When none of its writes is pending any more.
	};

	/// The newest record of a target.
	struct Row
	{
		Start start;
		RecordSequence sequence;
		Time until; //!< When no write before it is pending any more.
		std::vector<EndedStart> endedStarts;
	};

	static bool isSame(const Start& _a, const Start& _b);
	static bool isEnded(Row& _row, const Start& _start, RecordSequence _sequence);
	static void setStart(Row& _row, const Start& _start, Time _now);
	static void dropExpired(std::vector<EndedStart>& _starts, Time _now);
	void dropExpired(Time _now);

	std::unordered_map<std::string, Row> rows_; //!< By instance.
	Time nextDrop_;
};

} // namespace sedgecart

#endif // SEDGECART_CORE_RECORDORDER_H_HEADER_GUARD

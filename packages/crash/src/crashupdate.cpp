// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <crash/crashupdate.h>

#include <wire/boundedparse.h>
#include <wire/sedgecart.pb.h>

#include <algorithm>

namespace sedgecart
{

namespace
{

/// Maximum number of rows of a kind in one message: 16 KB, and a hub sends one message to each node of its hall. A
/// target runs some hundred requests at once.
constexpr int kMaxRows = 256;

/// Maximum length in bytes of a target's name that is accepted from other nodes.
constexpr std::size_t kMaxNameLength = 256;

/// Maximum number of targets in the record of a blocked request, and limits of that record in bytes and fields.
constexpr std::size_t kMaxRecordTargets = 16;
constexpr ParseBound kBound{16UL * 1024, 1000};

void putName(const RequestIdentity& _request, wire::RequestName& _out)
{
	_out.set_caller(_request.caller);
	_out.set_high(_request.high);
	_out.set_low(_request.low);
}

RequestIdentity nameOf(const wire::RequestName& _name)
{
	return RequestIdentity{_name.caller(), _name.high(), _name.low()};
}

void putRow(const CrashRow& _row, wire::CrashRow& _out)
{
	putName(_row.request, *_out.mutable_request());
	_out.set_target(_row.target.instance.text);
	_out.set_born(_row.target.startTime.unixMillis);
	_out.set_events(_row.progress.events);
	_out.set_events_of_run(_row.progress.runEvents);
}

bool isValid(const wire::CrashRow& _row)
{
	return _row.has_request() && !_row.target().empty() && _row.target().size() <= kMaxNameLength;
}

TargetIncarnation incarnationOf(const wire::CrashRow& _row)
{
	return TargetIncarnation{InstanceId{_row.target()}, StartTime{std::max<int64_t>(0, _row.born())}};
}

} // namespace

void putCrashUpdate(const CrashUpdate& _update, wire::CrashNews& _out)
{
	// Prompt parts first: they are few, and a target may have run more requests than there is room for.
	std::vector<CrashRow> crashes = _update.crashes;
	std::stable_partition(crashes.begin(), crashes.end(),
	                      [](const CrashRow& _row)
	                      {
		                      return _row.request.isPromptPart();
	                      });
	for (const CrashRow& row : crashes)
	{
		if (_out.crashes_size() < kMaxRows)
		{
			putRow(row, *_out.add_crashes());
		}
	}
	for (const RequestIdentity& request : _update.answered)
	{
		if (_out.answered_size() < kMaxRows)
		{
			putName(request, *_out.add_answered());
		}
	}
	for (const CrashSuspect& suspect : _update.suspects)
	{
		if (_out.suspects_size() < kMaxRows)
		{
			wire::CrashSuspect& row = *_out.add_suspects();
			putName(suspect.request, *row.mutable_request());
			row.set_crashes(suspect.crashes);
			row.set_blocked(suspect.blocked);
			row.set_blocked_ms(static_cast<uint64_t>(std::max<int64_t>(0, suspect.blockedFor.millis())));
		}
	}
}

CrashUpdate crashUpdateOf(const wire::CrashNews& _message)
{
	CrashUpdate update;
	for (const wire::CrashRow& row : _message.crashes())
	{
		if (isValid(row))
		{
			const ResponseProgress progress{row.events(), row.events_of_run()};
			update.crashes.push_back(CrashRow{nameOf(row.request()), incarnationOf(row), progress});
		}
	}
	for (const wire::RequestName& name : _message.answered())
	{
		update.answered.push_back(nameOf(name));
	}
	for (const wire::CrashSuspect& row : _message.suspects())
	{
		const auto maxMillis = static_cast<uint64_t>(CrashLedger::kBlockDuration.millis());
		const auto leftMillis = static_cast<int64_t>(std::min(maxMillis, row.blocked_ms()));
		update.suspects.push_back(
		    CrashSuspect{nameOf(row.request()), row.crashes(), row.blocked(), Duration::fromMillis(leftMillis)});
	}
	return update;
}

std::string writeBlockedRecord(const RequestIdentity& _request, const BlockedRecord& _record)
{
	wire::BlockedRequest out;
	out.set_author(_record.author);
	for (const TargetIncarnation& target : _record.crashes)
	{
		if (static_cast<std::size_t>(out.crashes_size()) < kMaxRecordTargets)
		{
			putRow(CrashRow{_request, target, ResponseProgress{}}, *out.add_crashes());
		}
	}
	return out.SerializeAsString();
}

RecordFault::Enum readBlockedRecord(const std::string& _key, const std::string& _value, RequestIdentity& _request,
                                    BlockedRecord& _record)
{
	if (!RequestIdentity::parse(_key, _request))
	{
		return RecordFault::AbsurdValue;
	}
	if (kBound.bytes < _value.size())
	{
		return RecordFault::TooLarge;
	}
	wire::BlockedRequest read;
	if (!parseBounded(_value, kBound, read))
	{
		return RecordFault::Unreadable;
	}
	_record = BlockedRecord{};
	_record.author = read.author();
	for (const wire::CrashRow& row : read.crashes())
	{
		if (isValid(row) && _record.crashes.size() < kMaxRecordTargets)
		{
			_record.crashes.push_back(incarnationOf(row));
		}
	}
	return _record.crashes.empty() ? RecordFault::FieldMissing : RecordFault::None;
}

} // namespace sedgecart

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_CRASH_CRASHUPDATE_H_HEADER_GUARD
#define SEDGECART_CRASH_CRASHUPDATE_H_HEADER_GUARD

#include <base/recordfault.h>
#include <core/crashledger.h>

#include <string>
#include <vector>

namespace sedgecart
{

namespace wire
{
class CrashNews;
} // namespace wire

/// An update that nodes send each other about requests that crashed targets.
struct CrashUpdate
{
	std::vector<CrashRow> crashes;
	std::vector<RequestIdentity> answered;
	std::vector<CrashSuspect> suspects;

	bool empty() const
	{
		return crashes.empty() && answered.empty() && suspects.empty();
	}
};

/// Writes an update to a message, up to the maximum number of rows of each kind.
void putCrashUpdate(const CrashUpdate& _update, wire::CrashNews& _out);

/// @returns the update that a message contains, without rows whose request or target is missing or invalid.
CrashUpdate crashUpdateOf(const wire::CrashNews& _message);

/// The store's record of a blocked request, with `RequestIdentity::text` as its key.
struct BlockedRecord
{
	std::vector<TargetIncarnation> crashes; //!< Targets that crashed while running it.
	std::string author;                     //!< Name of the node that blocked it.
};

/// @returns the record in the serialized form of the store.
std::string writeBlockedRecord(const RequestIdentity& _request, const BlockedRecord& _record);

/// Parses a record of the topic of blocked requests.
/// @returns why the record cannot be used; RecordFault::None if it can.
RecordFault::Enum readBlockedRecord(const std::string& _key, const std::string& _value, RequestIdentity& _request,
                                    BlockedRecord& _record);

} // namespace sedgecart

#endif // SEDGECART_CRASH_CRASHUPDATE_H_HEADER_GUARD

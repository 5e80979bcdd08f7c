// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_STORE_LOG_H_HEADER_GUARD
#define SEDGECART_STORE_LOG_H_HEADER_GUARD

#include <base/units.h>

#include <cstdint>
#include <string>
#include <vector>

namespace sedgecart
{

/// One record of a stream.
struct LogRecord
{
	Offset offset;
	std::string bytes;
};

/// Result of one read.
struct LogPage
{
	std::string identity; //!< Identity of the log itself, which never changes.
	Offset first;         //!< Oldest offset that the log retains.
	Offset next;          //!< Offset of the next append.
	std::vector<LogRecord> records;
};

/// State of an append, as far as the writer knows.
struct AppendState
{
	enum Enum
	{
		Appended,
		Busy,        //!< The log accepts no more records for the moment; not appended.
		NotAppended, //!< The log refused it, or could not be reached.
		Unknown,     //!< No readable answer arrived; the record may or may not be in the log.

		Count
	};
};

/// Result of an append.
struct AppendOutcome
{
	AppendState::Enum state = AppendState::Unknown;
	Offset offset; //!< Of the record, if it was appended.
};

/// The platform's append-only log.
class LogI
{
public:
	virtual ~LogI() = default;

	/// Appends one record to a stream.
	virtual AppendOutcome append(const std::string& _stream, const std::string& _bytes) = 0;

	/// Reads records from an offset on; if there are none, waits for the first one.
	/// @param _max maximum number of records.
	/// @param _wait longest wait for the first record.
	/// @returns false if the log could not be read.
	virtual bool read(const std::string& _stream, Offset _from, uint32_t _max, Duration _wait, LogPage& _page) = 0;
};

} // namespace sedgecart

#endif // SEDGECART_STORE_LOG_H_HEADER_GUARD

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

/// What one read gave.
struct LogPage
{
	std::string identity; //!< Of the log itself; never changes.
	Offset first;         //!< Oldest offset still kept.
	Offset next;          //!< Offset that the next append gets.
	std::vector<LogRecord> records;
};

/// What is known of an append.
struct AppendState
{
	enum Enum
	{
		Taken,
		Busy,     //!< The log said that it takes no more for the moment: not taken.
		NotTaken, //!< The log said no, or was never reached.
		Unknown,  //!< The answer was lost: it may stand in the log or not.

		Count
	};
};

/// What came of an append.
struct AppendOutcome
{
	AppendState::Enum state = AppendState::Unknown;
	Offset offset; //!< When taken.
};

/// The platform's append-only log.
class LogI
{
public:
	virtual ~LogI() = default;

	/// Appends one record to a stream.
	virtual AppendOutcome append(const std::string& _stream, const std::string& _bytes) = 0;

	/// Reads records from an offset on, waiting for the first one if there is none.
	/// @returns false if the log could not be read.
	virtual bool read(const std::string& _stream, Offset _from, uint32_t _max, Duration _wait, LogPage& _page) = 0;
};

} // namespace sedgecart

#endif // SEDGECART_STORE_LOG_H_HEADER_GUARD

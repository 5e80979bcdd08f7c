// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_LOGGING_LOGGING_H_HEADER_GUARD
#define SEDGECART_LOGGING_LOGGING_H_HEADER_GUARD

#include <iosfwd>
#include <string>
#include <vector>

namespace sedgecart
{

/// How much a line matters.
struct LogLevel
{
	enum Enum
	{
		Debug,
		Info,
		Warning,
		Error,

		Count
	};
};

/// Parts of the node; each has a fixed prefix.
struct LogPart
{
	enum Enum
	{
		Node,
		Config,
		Claims,
		Members,
		Targets,
		Requests,
		Operators,
		Store,
		Layout,

		Count
	};
};

/// Sets the sink up; call once, before any thread starts. Lines are written by a thread of their own; when its reader
/// does not keep up, lines are dropped and nobody waits.
/// @param _json one JSON object a line instead of plain text.
/// @param _out must live as long as the process.
void startLogging(LogLevel::Enum _level, bool _json, const std::string& _node, std::ostream& _out);

/// Waits until what was logged so far has been written.
void flushLogging();

/// Writes one line.
/// @param _sentence short; never holds a key.
/// @param _request request id, empty if the line is about none.
void logLine(LogPart::Enum _part, LogLevel::Enum _level, const std::string& _sentence,
             const std::string& _request = std::string());

/// A named value of a log line.
struct LogField
{
	const char* name;
	std::string value;
};

/// Writes one line about a decision: what happened and the inputs that decided it.
/// @param _sentence short and fixed, so that lines can be counted by it.
/// @param _request request id, empty if the line is about none.
void logEvent(LogPart::Enum _part, LogLevel::Enum _level, const char* _sentence, const std::vector<LogField>& _fields,
              const std::string& _request = std::string());

/// @returns "info" and so on.
const char* nameOf(LogLevel::Enum _level);

} // namespace sedgecart

#endif // SEDGECART_LOGGING_LOGGING_H_HEADER_GUARD

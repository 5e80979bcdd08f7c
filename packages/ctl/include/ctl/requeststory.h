// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_CTL_REQUESTSTORY_H_HEADER_GUARD
#define SEDGECART_CTL_REQUESTSTORY_H_HEADER_GUARD

#include <cstdint>
#include <iosfwd>
#include <map>
#include <string>
#include <vector>

namespace sedgecart
{

/// Line in which the hub of a hall logs the capacity, the leases and the waiting tokens of a service.
constexpr const char* kLeasesMessage = "Leases of the hall.";

/// One field of a log line.
struct LogField
{
	std::string name;
	std::string value;
};

/// One line of a node's structured log.
struct LogRecord
{
	int64_t micros = 0; //!< Time of day since 1970, by the clock of the node's VM.
	std::string node;
	std::string part;
	std::string message;
	std::string request; //!< Id; empty if the line is about no request.
	std::vector<LogField> fields;
};

/// @returns the value of a field, empty if there is none.
std::string valueOf(const LogRecord& _record, const std::string& _name);

/// Reads a line of a log. What stands before the JSON object, such as a collector's prefix, is passed over.
/// @returns false if the line holds none of our records.
bool readLogRecord(const std::string& _line, LogRecord& _record);

/// Everything that logs say about one request, in order: its own lines, and what its nodes said meanwhile of the
/// targets on its paths. Where it waited for capacity or was refused, also the last line of its hall's hub before,
/// which tells how much was free. Times of different VMs may be off against each other by seconds; lines of one node
/// keep their order.
class RequestStory
{
public:
	explicit RequestStory(const std::string& _request);

	/// Takes the lines of one log, of one node or of several.
	void read(std::istream& _log);

	/// @returns the records of the story, ordered by time and, at one node, as they were written.
	std::vector<LogRecord> records() const;

	/// @returns the story, a record a line, with times since its first one.
	std::string text() const;

private:
	void take(LogRecord&& _record);
	void addTargets(std::vector<LogRecord>& _story) const;
	std::string hallOf(const LogRecord& _leases) const;
	void addLeases(std::vector<LogRecord>& _story) const;

	std::string request_;
	std::vector<LogRecord> own_;               //!< Of the request.
	std::vector<LogRecord> around_;            //!< That name a target.
	std::vector<LogRecord> leases_;            //!< Of hubs.
	std::map<std::string, std::string> halls_; //!< By node.
};

} // namespace sedgecart

#endif // SEDGECART_CTL_REQUESTSTORY_H_HEADER_GUARD

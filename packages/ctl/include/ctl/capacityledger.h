// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_CTL_CAPACITYLEDGER_H_HEADER_GUARD
#define SEDGECART_CTL_CAPACITYLEDGER_H_HEADER_GUARD

#include <array>
#include <cstdint>
#include <iosfwd>
#include <map>
#include <string>
#include <utility>

namespace sedgecart
{

struct LogRecord;

/// Events of requests that concern the admission to prioritized services.
struct AdmissionEvent
{
	enum Enum
	{
		Waits,
		Admitted, //!< After a wait.
		Displaced,

		Count
	};
};

/// Capacity, leases and waiting tokens of each data hall by second, and beside them the requests that waited, were
/// admitted, displaced or refused. Read from nodes' logs. A hall's figures are the sum over its services.
class CapacityLedger
{
public:
	/// Takes the lines of one log, of one node or of several.
	void read(std::istream& _log);

	/// @returns rows "second,hall,figure,urgency,cause,value" with a heading, for a spreadsheet or a plot. Seconds
	/// count from the first line that was used. Capacity, free, lent and waiting are in tokens.
	std::string csv() const;

	/// @returns a table for people: a line for each second and hall. A second in which the hub wrote no line has only
	/// counts.
	std::string table() const;

private:
	/// Numbers by urgency as the log names it, "-" where a line names none.
	using ByUrgency = std::map<std::string, uint64_t>;

	/// What the hub said of one service.
	struct Leases
	{
		std::string hall;      //!< Empty if the line names none: that of the node.
		int64_t micros = 0;    //!< Time of the line.
		uint64_t capacity = 0; //!< Tokens, as the next three.
		uint64_t free = 0;
		uint64_t lent = 0;
		ByUrgency waiting;
		uint64_t nodes = 0;
	};

	struct Counts
	{
		std::array<ByUrgency, AdmissionEvent::Count> events;
		std::map<std::string, ByUrgency> refused; //!< By cause.
	};

	/// Everything known of one second of one hall.
	struct Row
	{
		bool hasLeases = false;
		Leases leases; //!< Sum over the services.
		Counts counts;
	};

	using Place = std::pair<int64_t, std::string>; //!< Second since 1970, and a hall or a node.

	void take(const LogRecord& _record);
	void takeLeases(const LogRecord& _record);
	std::string hallOf(const std::string& _node) const;
	std::map<Place, std::map<std::string, Leases>> leasesOfHalls() const;
	std::map<Place, Row> rows() const;

	std::map<std::string, std::string> halls_;              //!< By node.
	std::map<Place, std::map<std::string, Leases>> leases_; //!< By node, then service: the last line of a second.
	std::map<Place, Counts> counts_;                        //!< By node.
};

} // namespace sedgecart

#endif // SEDGECART_CTL_CAPACITYLEDGER_H_HEADER_GUARD

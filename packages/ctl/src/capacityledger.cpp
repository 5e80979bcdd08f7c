// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <ctl/capacityledger.h>
#include <ctl/requeststory.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <istream>

namespace sedgecart
{

namespace
{

constexpr int64_t kMicrosPerSecond = 1000000;

constexpr const char* kRefused = "Request is refused.";
constexpr const char* kWaitingPrefix = "waiting_";
constexpr const char* kUnknownUrgency = "-";

/// How an event appears in the log and in the output.
struct EventName
{
	const char* message;
	const char* figure;
};

constexpr EventName kEvents[AdmissionEvent::Count] = {
    {"Request waits for capacity.", "waits"},
    {"Request is admitted after a wait.", "admitted"},
    {"Request is displaced by a more urgent one.", "displaced"},
};

uint64_t numberIn(const std::string& _text)
{
	return std::strtoull(_text.c_str(), nullptr, 10);
}

uint64_t numberOf(const LogRecord& _record, const char* _name)
{
	return numberIn(valueOf(_record, _name));
}

using ByUrgency = std::map<std::string, uint64_t>;

void addTo(ByUrgency& _sum, const ByUrgency& _numbers)
{
	for (const auto& number : _numbers)
	{
		_sum[number.first] += number.second;
	}
}

/// @returns "  name 0:12 2:7", empty if all numbers are 0.
std::string textOf(const std::string& _name, const ByUrgency& _numbers)
{
	std::string text;
	for (const auto& number : _numbers)
	{
		text += 0 == number.second ? "" : ' ' + number.first + ':' + std::to_string(number.second);
	}
	return text.empty() ? text : "  " + _name + text;
}

/// @param _head second and hall, with a comma behind each.
std::string csvRow(const std::string& _head, const std::string& _figure, const std::string& _urgency,
                   const std::string& _cause, uint64_t _value)
{
	return _head + _figure + ',' + _urgency + ',' + _cause + ',' + std::to_string(_value) + '\n';
}

std::string csvRows(const std::string& _head, const std::string& _figure, const std::string& _cause,
                    const ByUrgency& _numbers)
{
	std::string text;
	for (const auto& number : _numbers)
	{
		text += csvRow(_head, _figure, number.first, _cause, number.second);
	}
	return text;
}

} // namespace

void CapacityLedger::read(std::istream& _log)
{
	std::string line;
	while (std::getline(_log, line))
	{
		LogRecord record;
		if (readLogRecord(line, record))
		{
			take(record);
		}
	}
}

void CapacityLedger::take(const LogRecord& _record)
{
	if ("Node starts." == _record.message)
	{
		halls_[_record.node] = valueOf(_record, "hall");
		return;
	}
	if (kLeasesMessage == _record.message)
	{
		takeLeases(_record);
		return;
	}
	const std::string logged = valueOf(_record, "urgency");
	const std::string urgency = logged.empty() ? kUnknownUrgency : logged;
	const Place place(_record.micros / kMicrosPerSecond, _record.node);
	if (kRefused == _record.message)
	{
		++counts_[place].refused[valueOf(_record, "cause")][urgency];
		return;
	}
	for (std::size_t event = 0; event < AdmissionEvent::Count; ++event)
	{
		if (kEvents[event].message == _record.message)
		{
			++counts_[place].events[event][urgency];
			return;
		}
	}
}

void CapacityLedger::takeLeases(const LogRecord& _record)
{
	const Place place(_record.micros / kMicrosPerSecond, _record.node);
	Leases& leases = leases_[place][valueOf(_record, "service")];
	leases = Leases{};
	leases.hall = valueOf(_record, "hall");
	leases.micros = _record.micros;
	leases.capacity = numberOf(_record, "capacity");
	leases.free = numberOf(_record, "free");
	leases.lent = numberOf(_record, "lent");
	leases.nodes = numberOf(_record, "nodes");
	const std::string prefix = kWaitingPrefix;
	for (const LogField& field : _record.fields)
	{
		if (0 == field.name.compare(0, prefix.size(), prefix))
		{
			leases.waiting[field.name.substr(prefix.size())] = numberIn(field.value);
		}
	}
}

/// @returns the node itself if its log does not tell its hall.
std::string CapacityLedger::hallOf(const std::string& _node) const
{
	const auto hall = halls_.find(_node);
	return halls_.end() == hall ? _node : hall->second;
}

/// @returns the last line of each second by hall and service. Several nodes wrote one where the hub changed.
std::map<CapacityLedger::Place, std::map<std::string, CapacityLedger::Leases>> CapacityLedger::leasesOfHalls() const
{
	std::map<Place, std::map<std::string, Leases>> halls;
	for (const auto& node : leases_)
	{
		for (const auto& service : node.second)
		{
			const Leases& leases = service.second;
			const std::string hall = leases.hall.empty() ? hallOf(node.first.second) : leases.hall;
			Leases& last = halls[Place(node.first.first, hall)][service.first];
			last = last.micros < leases.micros ? leases : last;
		}
	}
	return halls;
}

std::map<CapacityLedger::Place, CapacityLedger::Row> CapacityLedger::rows() const
{
	std::map<Place, Row> rows;
	for (const auto& hall : leasesOfHalls())
	{
		Row& row = rows[hall.first];
		row.hasLeases = true;
		for (const auto& service : hall.second)
		{
			row.leases.capacity += service.second.capacity;
			row.leases.free += service.second.free;
			row.leases.lent += service.second.lent;
			row.leases.nodes = std::max(row.leases.nodes, service.second.nodes); // the same nodes serve all of them
			addTo(row.leases.waiting, service.second.waiting);
		}
	}
	for (const auto& node : counts_)
	{
		Counts& sum = rows[Place(node.first.first, hallOf(node.first.second))].counts;
		for (std::size_t event = 0; event < AdmissionEvent::Count; ++event)
		{
			addTo(sum.events[event], node.second.events[event]);
		}
		for (const auto& cause : node.second.refused)
		{
			addTo(sum.refused[cause.first], cause.second);
		}
	}
	return rows;
}

std::string CapacityLedger::csv() const
{
	const std::map<Place, Row> all = rows();
	std::string text = "second,hall,figure,urgency,cause,value\n";
	for (const auto& entry : all)
	{
		const Row& row = entry.second;
		const std::string head =
		    std::to_string(entry.first.first - all.begin()->first.first) + ',' + entry.first.second + ',';
		if (row.hasLeases)
		{
			text += csvRow(head, "capacity", "", "", row.leases.capacity) +
			        csvRow(head, "free", "", "", row.leases.free) + csvRow(head, "lent", "", "", row.leases.lent) +
			        csvRow(head, "nodes", "", "", row.leases.nodes) + csvRows(head, "waiting", "", row.leases.waiting);
		}
		for (std::size_t event = 0; event < AdmissionEvent::Count; ++event)
		{
			text += csvRows(head, kEvents[event].figure, "", row.counts.events[event]);
		}
		for (const auto& cause : row.counts.refused)
		{
			text += csvRows(head, "refused", cause.first, cause.second);
		}
	}
	return text;
}

std::string CapacityLedger::table() const
{
	const std::map<Place, Row> all = rows();
	std::string text;
	for (const auto& entry : all)
	{
		const Row& row = entry.second;
		char head[32];
		std::snprintf(head, sizeof(head), "%6lld s  ",
		              static_cast<long long>(entry.first.first - all.begin()->first.first));
		text += head + entry.first.second;
		if (row.hasLeases)
		{
			text += "  capacity " + std::to_string(row.leases.capacity) + "  free " + std::to_string(row.leases.free) +
			        "  lent " + std::to_string(row.leases.lent) + textOf("waiting", row.leases.waiting);
		}
		for (std::size_t event = 0; event < AdmissionEvent::Count; ++event)
		{
			text += textOf(kEvents[event].figure, row.counts.events[event]);
		}
		for (const auto& cause : row.counts.refused)
		{
			text += textOf("refused " + cause.first, cause.second);
		}
		text += '\n';
	}
	return text;
}

} // namespace sedgecart

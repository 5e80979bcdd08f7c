// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <ctl/requeststory.h>

#include <wire/json.h>

#include <google/protobuf/struct.pb.h>

#include <boost/algorithm/string.hpp>
#include <boost/date_time/posix_time/posix_time.hpp>

#include <algorithm>
#include <cstdio>
#include <istream>
#include <iterator>
#include <set>

namespace sedgecart
{

namespace
{

/// What a node said of a target so long before and after the request's own lines may belong to its story: a target is
/// found dead within some tens of milliseconds, and is passed over for some seconds.
constexpr int64_t kAroundMicros = 1000000;

constexpr int64_t kMicrosPerSecond = 1000000;

constexpr const char* kNodeStarts = "Node starts.";

/// Lines of a request that depended on how much capacity was free.
constexpr const char* kCapacityMessages[] = {
    "Request waits for capacity.",
    "Stream waits for a target with free capacity.",
    "Request is displaced by a more urgent one.",
    "Request is refused.",
};

/// @returns microseconds since 1970 of "2026-12-02T18:00:00.123456Z", -1 if it is no such text.
int64_t microsOf(std::string _time)
{
	boost::erase_tail(_time, boost::ends_with(_time, "Z") ? 1 : 0);
	try
	{
		const boost::posix_time::ptime read = boost::posix_time::from_iso_extended_string(_time);
		const boost::posix_time::ptime epoch(boost::gregorian::date(1970, 1, 1));
		return (read - epoch).total_microseconds();
	}
	catch (const std::exception&)
	{
		return -1; // the caller passes the line over and says so
	}
}

/// @returns the targets that a path of the form instance/hall/layers,... goes over.
std::set<std::string> targetsOf(const std::string& _path)
{
	std::set<std::string> targets;
	std::vector<std::string> parts;
	boost::split(parts, _path, boost::is_any_of(","));
	for (const std::string& part : parts)
	{
		targets.insert(part.substr(0, part.find('/')));
	}
	return targets;
}

std::string lineOf(const LogRecord& _record, int64_t _since)
{
	char time[32];
	const double seconds = static_cast<double>(_record.micros - _since) / kMicrosPerSecond;
	std::snprintf(time, sizeof(time), "%+10.3f s  ", seconds);
	std::string line = time + _record.node + "  " + _record.message;
	for (const LogField& field : _record.fields)
	{
		line += field.value.empty() ? "" : "  " + field.name + '=' + field.value;
	}
	return line + '\n';
}

bool dependsOnCapacity(const LogRecord& _record)
{
	return std::end(kCapacityMessages) !=
	       std::find(std::begin(kCapacityMessages), std::end(kCapacityMessages), _record.message);
}

/// @returns false if the two lines name different services.
bool concernsService(const LogRecord& _leases, const LogRecord& _record)
{
	const std::string service = valueOf(_record, "service");
	return service.empty() || service == valueOf(_leases, "service");
}

} // namespace

std::string valueOf(const LogRecord& _record, const std::string& _name)
{
	for (const LogField& field : _record.fields)
	{
		if (_name == field.name)
		{
			return field.value;
		}
	}
	return std::string();
}

bool readLogRecord(const std::string& _line, LogRecord& _record)
{
	const std::size_t begin = _line.find('{');
	google::protobuf::Struct object;
	if (std::string::npos == begin || !fromJson(_line.substr(begin), object))
	{
		return false;
	}
	const auto take = [&object](const char* _name)
	{
		const auto field = object.fields().find(_name);
		return object.fields().end() == field ? std::string() : field->second.string_value();
	};
	_record = LogRecord{};
	_record.micros = microsOf(take("time"));
	_record.node = take("node");
	_record.part = take("part");
	_record.message = take("message");
	_record.request = take("request");
	const std::set<std::string> known{"time", "node", "level", "part", "message", "request"};
	for (const auto& field : object.fields())
	{
		if (0 == known.count(field.first))
		{
			_record.fields.push_back(LogField{field.first, field.second.string_value()});
		}
	}
	std::sort(_record.fields.begin(), _record.fields.end(),
	          [](const LogField& _a, const LogField& _b)
	          {
		          return _a.name < _b.name;
	          });
	return 0 <= _record.micros && !_record.message.empty();
}

RequestStory::RequestStory(const std::string& _request) : request_(_request)
{
}

void RequestStory::read(std::istream& _log)
{
	std::string line;
	while (std::getline(_log, line))
	{
		const bool mayMatter =
		    std::string::npos != line.find(request_) || std::string::npos != line.find("\"target\":") ||
		    std::string::npos != line.find(kLeasesMessage) || std::string::npos != line.find(kNodeStarts);
		LogRecord record;
		if (mayMatter && readLogRecord(line, record))
		{
			take(std::move(record));
		}
	}
}

void RequestStory::take(LogRecord&& _record)
{
	if (kNodeStarts == _record.message)
	{
		halls_[_record.node] = valueOf(_record, "hall");
	}
	if (request_ == _record.request)
	{
		own_.push_back(std::move(_record));
	}
	else if (kLeasesMessage == _record.message)
	{
		leases_.push_back(std::move(_record));
	}
	else if (_record.request.empty() && !valueOf(_record, "target").empty())
	{
		around_.push_back(std::move(_record));
	}
}

std::vector<LogRecord> RequestStory::records() const
{
	std::vector<LogRecord> story;
	addLeases(story); // before the request's own lines, so that they stay before them where the times are equal
	story.insert(story.end(), own_.begin(), own_.end());
	addTargets(story);
	std::stable_sort(story.begin(), story.end(),
	                 [](const LogRecord& _a, const LogRecord& _b)
	                 {
		                 return _a.micros < _b.micros;
	                 });
	return story;
}

/// Adds what the request's nodes said of the targets on its paths.
void RequestStory::addTargets(std::vector<LogRecord>& _story) const
{
	std::set<std::string> nodes;
	std::set<std::string> targets;
	int64_t first = INT64_MAX;
	int64_t last = INT64_MIN;
	for (const LogRecord& record : own_)
	{
		nodes.insert(record.node);
		targets.merge(targetsOf(valueOf(record, "path")));
		targets.insert(valueOf(record, "target"));
		first = std::min(first, record.micros);
		last = std::max(last, record.micros);
	}
	for (const LogRecord& record : around_)
	{
		const bool inTime = first - kAroundMicros <= record.micros && record.micros <= last + kAroundMicros;
		if (inTime && 0 < nodes.count(record.node) && 0 < targets.count(valueOf(record, "target")))
		{
			_story.push_back(record);
		}
	}
}

/// @returns the hall of a hub's line, by the line or by the node that wrote it; empty if neither is known.
std::string RequestStory::hallOf(const LogRecord& _leases) const
{
	const std::string named = valueOf(_leases, "hall");
	const auto known = halls_.find(_leases.node);
	return named.empty() && halls_.end() != known ? known->second : named;
}

/// Adds, for each of the request's lines that depended on free capacity, the last line of the hall's hub before it.
void RequestStory::addLeases(std::vector<LogRecord>& _story) const
{
	std::set<const LogRecord*> added;
	for (const LogRecord& record : own_)
	{
		const auto hall = halls_.find(record.node);
		if (halls_.end() == hall || !dependsOnCapacity(record))
		{
			continue;
		}
		const LogRecord* nearest = nullptr;
		for (const LogRecord& leases : leases_)
		{
			const bool concerns = hall->second == hallOf(leases) && concernsService(leases, record);
			const bool isNearer = nullptr == nearest || nearest->micros < leases.micros;
			nearest = concerns && leases.micros <= record.micros && isNearer ? &leases : nearest;
		}
		if (nullptr != nearest && added.insert(nearest).second)
		{
			_story.push_back(*nearest);
		}
	}
}

std::string RequestStory::text() const
{
	const std::vector<LogRecord> story = records();
	std::string text;
	for (const LogRecord& record : story)
	{
		text += lineOf(record, own_.front().micros);
	}
	return text;
}

} // namespace sedgecart

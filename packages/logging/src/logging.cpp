// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <logging/logging.h>

#include <boost/log/attributes/clock.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/utility/manipulators/add_value.hpp>
#include <boost/log/utility/setup/console.hpp>

#include <iostream>

namespace sedgecart
{

namespace
{

namespace logging = boost::log;
namespace expr = boost::log::expressions;

constexpr const char* kLevelNames[] = {"debug", "info", "warning", "error"};
static_assert(LogLevel::Count == sizeof(kLevelNames) / sizeof(kLevelNames[0]), "each level needs its name");

constexpr const char* kPrefixes[] = {"node",     "config",    "claims", "members", "targets",
                                     "requests", "operators", "store",  "layout"};
static_assert(LogPart::Count == sizeof(kPrefixes) / sizeof(kPrefixes[0]), "each part needs its prefix");

std::string gNode; // set once, before any thread starts

std::string escaped(const std::string& _text)
{
	std::string out;
	for (const char letter : _text)
	{
		const bool control = static_cast<unsigned char>(letter) < 0x20;
		if ('"' == letter || '\\' == letter)
		{
			out += '\\';
		}
		out += control ? ' ' : letter;
	}
	return out;
}

std::string textOf(const logging::record_view& _record, const char* _name)
{
	const auto value = logging::extract<std::string>(_name, _record);
	return value.empty() ? std::string() : value.get();
}

std::string timeOf(const logging::record_view& _record)
{
	const auto time = logging::extract<boost::posix_time::ptime>("TimeStamp", _record);
	return time.empty() ? std::string() : boost::posix_time::to_iso_extended_string(time.get()) + "Z";
}

void formatText(const logging::record_view& _record, logging::formatting_ostream& _out)
{
	_out << timeOf(_record) << ' ' << textOf(_record, "Level") << ' ' << textOf(_record, "Part") << ": "
	     << _record[expr::smessage];
	_out << textOf(_record, "Fields");
	const std::string request = textOf(_record, "Request");
	if (!request.empty())
	{
		_out << " request=" << request;
	}
}

void formatJson(const logging::record_view& _record, logging::formatting_ostream& _out)
{
	const auto message = _record[expr::smessage];
	_out << "{\"time\":\"" << timeOf(_record) << "\",\"node\":\"" << escaped(gNode) << "\",\"level\":\""
	     << textOf(_record, "Level") << "\",\"part\":\"" << textOf(_record, "Part") << "\",\"message\":\""
	     << escaped(message ? message.get() : std::string()) << "\",\"request\":\""
	     << escaped(textOf(_record, "Request")) << '"' << textOf(_record, "Fields") << '}';
}

LogLevel::Enum gLevel = LogLevel::Info; // set once, before any thread starts
bool gJson = false;                     // set once, before any thread starts

/// @returns the fields as they stand in a line of the format in use.
std::string fieldsText(const std::vector<LogField>& _fields)
{
	std::string text;
	for (const LogField& field : _fields)
	{
		if (gJson)
		{
			text += std::string(",\"") + field.name + "\":\"" + escaped(field.value) + '"';
		}
		else
		{
			text += std::string(" ") + field.name + '=' + field.value;
		}
	}
	return text;
}

void writeLine(LogPart::Enum _part, LogLevel::Enum _level, const std::string& _sentence, const std::string& _fields,
               const std::string& _request)
{
	thread_local logging::sources::logger source;
	logging::record record = source.open_record();
	if (!record)
	{
		return;
	}
	logging::record_ostream out(record);
	out << logging::add_value("Part", std::string(kPrefixes[_part]))
	    << logging::add_value("Level", std::string(kLevelNames[_level])) << logging::add_value("Request", _request)
	    << logging::add_value("Fields", _fields) << _sentence;
	out.flush();
	source.push_record(std::move(record));
}

} // namespace

void startLogging(LogLevel::Enum _level, bool _json, const std::string& _node)
{
	gNode = _node;
	gLevel = _level;
	gJson = _json;
	const auto sink = logging::add_console_log(std::clog);
	sink->locked_backend()->auto_flush(true);
	if (_json)
	{
		sink->set_formatter(&formatJson);
	}
	else
	{
		sink->set_formatter(&formatText);
	}
	logging::core::get()->add_global_attribute("TimeStamp", logging::attributes::utc_clock());
}

void logLine(LogPart::Enum _part, LogLevel::Enum _level, const std::string& _sentence, const std::string& _request)
{
	if (_level < gLevel)
	{
		return;
	}
	writeLine(_part, _level, _sentence, std::string(), _request);
}

void logEvent(LogPart::Enum _part, LogLevel::Enum _level, const char* _sentence, const std::vector<LogField>& _fields,
              const std::string& _request)
{
	if (_level < gLevel)
	{
		return;
	}
	writeLine(_part, _level, _sentence, fieldsText(_fields), _request);
}

const char* nameOf(LogLevel::Enum _level)
{
	return kLevelNames[_level];
}

} // namespace sedgecart

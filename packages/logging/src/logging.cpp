// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <base/bootclock.h>
#include <logging/logging.h>

#include <boost/log/attributes/clock.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/drop_on_overflow.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/utility/manipulators/add_value.hpp>
#include <boost/smart_ptr/make_shared.hpp>

#include <array>
#include <atomic>
#include <chrono>
#include <ostream>

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

/// Lines that wait to be written; beyond it lines are dropped rather than waited for.
constexpr std::size_t kWaitingLines = 2048;

/// Lines a second that one part may write below the level of a warning: some per cent of a core at most, at 10 us a
/// line.
constexpr uint32_t kLinesASecond = 200;

using Backend = logging::sinks::text_ostream_backend;
using Queue = logging::sinks::bounded_fifo_queue<kWaitingLines, logging::sinks::drop_on_overflow>;
using Sink = logging::sinks::asynchronous_sink<Backend, Queue>;

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

/// Bounds the lines of one part. Any thread.
class LineBudget
{
public:
	/// @param _leftOut set to the lines that the last second left out, once.
	/// @returns true if a line may be written now.
	bool take(uint32_t& _leftOut)
	{
		const auto now = BootClock::now().time_since_epoch();
		const int64_t second = std::chrono::duration_cast<std::chrono::seconds>(now).count();
		if (second != second_.exchange(second))
		{
			const uint32_t lines = lines_.exchange(0);
			_leftOut = kLinesASecond < lines ? lines - kLinesASecond : 0;
		}
		return lines_.fetch_add(1) < kLinesASecond;
	}

private:
	std::atomic<int64_t> second_{0};
	std::atomic<uint32_t> lines_{0};
};

std::array<LineBudget, LogPart::Count> gBudgets;

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

void startLogging(LogLevel::Enum _level, bool _json, const std::string& _node, std::ostream& _out)
{
	gNode = _node;
	gLevel = _level;
	gJson = _json;
	const auto backend = boost::make_shared<Backend>();
	backend->add_stream(boost::shared_ptr<std::ostream>(&_out, [](std::ostream*) {}));
	backend->auto_flush(true);
	// Written by a thread of its own: who logs never waits for the reader.
	const auto sink = boost::make_shared<Sink>(backend);
	if (_json)
	{
		sink->set_formatter(&formatJson);
	}
	else
	{
		sink->set_formatter(&formatText);
	}
	logging::core::get()->add_sink(sink);
	logging::core::get()->add_global_attribute("TimeStamp", logging::attributes::utc_clock());
}

void flushLogging()
{
	logging::core::get()->flush();
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
	uint32_t leftOut = 0;
	const bool fits = gBudgets[_part].take(leftOut);
	if (0 < leftOut)
	{
		const std::vector<LogField> fields = {{"lines", std::to_string(leftOut)}};
		writeLine(_part, LogLevel::Warning, "Log lines were left out.", fieldsText(fields), std::string());
	}
	if (fits || LogLevel::Warning <= _level)
	{
		writeLine(_part, _level, _sentence, fieldsText(_fields), _request);
	}
}

const char* nameOf(LogLevel::Enum _level)
{
	return kLevelNames[_level];
}

} // namespace sedgecart

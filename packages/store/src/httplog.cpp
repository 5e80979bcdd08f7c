// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <store/httplog.h>

#include <base/config.h>
#include <wire/json.h>
#include <wire/sedgecart.pb.h>

namespace sedgecart
{

namespace
{

constexpr uint16_t kOk = 200;
constexpr uint16_t kBusy = 429;

Duration timeout()
{
	return Duration::fromMillis(SEDGECART_CONFIG_LOG_TIMEOUT_MS);
}

} // namespace

HttpLog::HttpLog(const Endpoint& _endpoint) : client_(_endpoint)
{
}

AppendOutcome HttpLog::append(const std::string& _stream, const std::string& _bytes)
{
	HttpCall call;
	call.method = "POST";
	call.target = "/log/" + _stream;
	call.contentType = "application/octet-stream";
	call.body = _bytes;
	const HttpOutcome outcome = client_.call(call, timeout());
	AppendOutcome made;
	if (CallState::Replied != outcome.state)
	{
		made.state = CallState::NotSent == outcome.state ? AppendState::NotAppended : AppendState::Unknown;
		return made;
	}
	if (kOk != outcome.reply.status)
	{
		made.state = kBusy == outcome.reply.status ? AppendState::Busy : AppendState::NotAppended;
		return made;
	}
	wire::LogAppendReply reply;
	const bool readable = fromJson(outcome.reply.body, reply);
	made.state = readable ? AppendState::Appended : AppendState::Unknown;
	made.offset = Offset{reply.offset()};
	return made;
}

bool HttpLog::read(const std::string& _stream, Offset _from, uint32_t _max, Duration _wait, LogPage& _page)
{
	HttpCall call;
	call.target = "/log/" + _stream + "?from=" + std::to_string(_from.value) + "&max=" + std::to_string(_max) +
	              "&wait_ms=" + std::to_string(_wait.millis());
	const HttpOutcome outcome = client_.call(call, timeout() + _wait);
	wire::LogReadReply reply;
	if (CallState::Replied != outcome.state || kOk != outcome.reply.status || !fromJson(outcome.reply.body, reply))
	{
		return false;
	}
	_page.identity = reply.identity();
	_page.first = Offset{reply.first()};
	_page.next = Offset{reply.next()};
	_page.records.clear();
	for (const wire::LogEntry& entry : reply.entries())
	{
		_page.records.push_back(LogRecord{Offset{entry.offset()}, entry.record()});
	}
	return true;
}

} // namespace sedgecart

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "pacedstreams.h"

#include <utility>

namespace sedgecart
{

PacedStreams::PacedStreams(std::chrono::milliseconds _pace) : pace_(_pace)
{
}

TargetScript PacedStreams::script()
{
	return [this](const std::shared_ptr<ServerConnection>& _caller, const ServerRequest& _request)
	{
		if ("/stream/" != _request.head.target)
		{
			answerWhole(*_caller, _request, 200, "{}");
			return;
		}
		begin(_caller, _request);
	};
}

void PacedStreams::serveOn(FakeTarget& _target)
{
	target_ = &_target;
}

void PacedStreams::setAnswer(uint64_t _events, std::chrono::milliseconds _pace)
{
	events_ = _events;
	pace_ = _pace;
}

void PacedStreams::begin(const std::shared_ptr<ServerConnection>& _caller, const ServerRequest& _request)
{
	const std::string* const after = _request.head.headers.find("Last-Event-Id");
	const std::string counts = *_request.head.headers.find("Token-Counts");
	Stream stream;
	stream.caller = _caller;
	stream.next = nullptr == after ? 0 : std::stoull(*after) + 1;
	const uint64_t events = events_;
	stream.end = 0 < events ? events : std::stoull(counts.substr(counts.find(',') + 1));
	stream.pace = pace_;
	ResponseStart start;
	start.headers = signedHeaders(_request);
	start.framing = BodyFraming::Chunked;
	_caller->start(start, std::string_view());
	bringNext(std::move(stream));
}

void PacedStreams::bringNext(Stream _stream)
{
	_stream.caller->send(eventText(_stream.next));
	++_stream.next;
	if (_stream.end <= _stream.next)
	{
		_stream.caller->finish();
		return;
	}
	const std::chrono::milliseconds pace = _stream.pace;
	target_->postAfter(pace,
	                   [this, stream = std::move(_stream)]
	                   {
		                   bringNext(stream);
	                   });
}

std::string eventTexts(uint64_t _events)
{
	std::string text;
	for (uint64_t id = 0; id < _events; ++id)
	{
		text += eventText(id);
	}
	return text;
}

} // namespace sedgecart

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <core/eventsplitter.h>

#include <charconv>

namespace sedgecart
{

namespace
{

constexpr std::string_view kBoundary = "\n\n";

/// @returns the number in the event's "id:" line.
std::optional<uint64_t> idOf(std::string_view _event)
{
	while (!_event.empty())
	{
		const std::size_t end = _event.find('\n');
		std::string_view line = _event.substr(0, end);
		_event = std::string_view::npos == end ? std::string_view() : _event.substr(end + 1);
		if ("id:" != line.substr(0, 3))
		{
			continue;
		}
		line.remove_prefix(3);
		while (!line.empty() && ' ' == line.front())
		{
			line.remove_prefix(1);
		}
		uint64_t id = 0;
		const auto parsed = std::from_chars(line.data(), line.data() + line.size(), id);
		return std::errc{} == parsed.ec ? std::optional<uint64_t>(id) : std::nullopt;
	}
	return std::nullopt;
}

} // namespace

EventSplitter::EventSplitter(std::optional<uint64_t> _after) : lastId_(_after)
{
}

bool EventSplitter::feed(std::string_view _bytes, std::string& _complete)
{
	_complete.clear();
	partialEvent_.append(_bytes);
	std::size_t begin = 0;
	bool inSequence = true;
	for (std::size_t end = partialEvent_.find(kBoundary); std::string::npos != end;
	     end = partialEvent_.find(kBoundary, begin))
	{
		const std::size_t next = end + kBoundary.size();
		if (!accept(std::string_view(partialEvent_).substr(begin, next - begin)))
		{
			inSequence = false;
			break;
		}
		begin = next;
	}
	_complete.assign(partialEvent_, 0, begin);
	partialEvent_.erase(0, begin);
	return inSequence;
}

bool EventSplitter::accept(std::string_view _event)
{
	const std::optional<uint64_t> id = idOf(_event);
	const bool first = !lastId_.has_value();
	if (id && !first && *lastId_ + 1 != *id)
	{
		return false;
	}
	++events_;
	lastId_ = id ? id : lastId_; // comments, for example, carry no id
	return true;
}

void EventSplitter::discardPartialEvent()
{
	partialEvent_.clear();
}

} // namespace sedgecart

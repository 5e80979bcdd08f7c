// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_CORE_EVENTSPLITTER_H_HEADER_GUARD
#define SEDGECART_CORE_EVENTSPLITTER_H_HEADER_GUARD

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sedgecart
{

/// Splits the bytes of an event stream into complete events and checks that their ids are consecutive, also across
/// targets: a response that another target continues must resume exactly where it stopped.
class EventSplitter
{
public:
	/// @param _after id of the event after which the stream starts, if its caller resumes a stream.
	explicit EventSplitter(std::optional<uint64_t> _after);

	/// Processes bytes as received.
	/// @param _complete set to the bytes of complete events, which may be forwarded; may be empty.
	/// @returns false if the id of an event does not follow the previous one: that event and all after it must not be
	/// forwarded.
	bool feed(std::string_view _bytes, std::string& _complete);

	/// Discards an incomplete event, because another target continues the stream.
	void discardPartialEvent();

	/// @returns the id of the last complete event, if there was one.
	std::optional<uint64_t> lastId() const
	{
		return lastId_;
	}

	/// @returns true if no incomplete event is buffered.
	bool atBoundary() const
	{
		return partialEvent_.empty();
	}

	/// @returns the number of complete events so far.
	uint64_t events() const
	{
		return events_;
	}

private:
	bool accept(std::string_view _event);

	std::string partialEvent_; //!< Bytes of an incomplete event.
	std::optional<uint64_t> lastId_;
	uint64_t events_ = 0;
};

} // namespace sedgecart

#endif // SEDGECART_CORE_EVENTSPLITTER_H_HEADER_GUARD

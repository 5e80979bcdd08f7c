// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_CORE_EVENTSPLITTER_H_HEADER_GUARD
#define SEDGECART_CORE_EVENTSPLITTER_H_HEADER_GUARD

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sedgecart
{

/// Cuts the bytes of an event stream into whole events and checks that their ids follow each other, over several
/// targets: an answer that is continued elsewhere must go on where it stopped.
class EventSplitter
{
public:
	/// @param _after the id after which the stream continues, if it is a continuation from the start.
	explicit EventSplitter(std::optional<uint64_t> _after);

	/// Takes bytes as they came.
	/// @param _whole set to the bytes that end with a whole event and may be passed on; may be empty.
	/// @returns false if an event does not follow the one before: nothing from it on may be passed on.
	bool feed(std::string_view _bytes, std::string& _whole);

	/// Another target continues: what stands half read is dropped.
	void continueElsewhere();

	/// @returns the id of the last whole event, none if there was none.
	std::optional<uint64_t> lastId() const
	{
		return lastId_;
	}

	/// @returns true if nothing stands half read.
	bool atBoundary() const
	{
		return rest_.empty();
	}

	/// @returns whole events so far.
	uint64_t events() const
	{
		return events_;
	}

private:
	bool accept(std::string_view _event);

	std::string rest_; //!< The begun event.
	std::optional<uint64_t> lastId_;
	uint64_t events_ = 0;
};

} // namespace sedgecart

#endif // SEDGECART_CORE_EVENTSPLITTER_H_HEADER_GUARD

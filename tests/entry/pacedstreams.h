// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_TESTS_ENTRY_PACEDSTREAMS_H_HEADER_GUARD
#define SEDGECART_TESTS_ENTRY_PACEDSTREAMS_H_HEADER_GUARD

#include "faketarget.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

namespace sedgecart
{

/// Streams of a fake target that bring an event each at a fixed pace, as many as the request bounds its answer to; the
/// first at once, or the one behind where the request continues. Other requests are answered at once. Must outlive its
/// target.
class PacedStreams
{
public:
	explicit PacedStreams(std::chrono::milliseconds _pace);

	PacedStreams(const PacedStreams&) = delete;
	PacedStreams& operator=(const PacedStreams&) = delete;

	/// @returns what the target does.
	TargetScript script();

	/// Says whose script it is; before the first request.
	void serveOn(FakeTarget& _target);

private:
	/// One stream under way.
	struct Stream
	{
		std::shared_ptr<ServerConnection> caller;
		uint64_t next = 0;
		uint64_t end = 0;
	};

	void begin(const std::shared_ptr<ServerConnection>& _caller, const ServerRequest& _request);
	void bringNext(Stream _stream);

	std::chrono::milliseconds pace_;
	FakeTarget* target_ = nullptr;
};

/// @returns the text of so many events, from 0 on.
std::string eventTexts(uint64_t _events);

} // namespace sedgecart

#endif // SEDGECART_TESTS_ENTRY_PACEDSTREAMS_H_HEADER_GUARD

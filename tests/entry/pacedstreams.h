// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_TESTS_ENTRY_PACEDSTREAMS_H_HEADER_GUARD
#define SEDGECART_TESTS_ENTRY_PACEDSTREAMS_H_HEADER_GUARD

#include "faketarget.h"

#include <atomic>
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

	/// Changes the pace, and the events of an answer; 0: as many as the request bounds it to. For streams that begin
	/// from now on.
	void setAnswer(uint64_t _events, std::chrono::milliseconds _pace);

private:
	/// One stream under way.
	struct Stream
	{
		std::shared_ptr<ServerConnection> caller;
		uint64_t next = 0;
		uint64_t end = 0;
		std::chrono::milliseconds pace{};
	};

	void begin(const std::shared_ptr<ServerConnection>& _caller, const ServerRequest& _request);
	void bringNext(Stream _stream);

	std::atomic<std::chrono::milliseconds> pace_;
	std::atomic<uint64_t> events_{0};
	FakeTarget* target_ = nullptr;
};

/// @returns the text of so many events, from 0 on.
std::string eventTexts(uint64_t _events);

} // namespace sedgecart

#endif // SEDGECART_TESTS_ENTRY_PACEDSTREAMS_H_HEADER_GUARD

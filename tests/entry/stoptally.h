// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_TESTS_ENTRY_STOPTALLY_H_HEADER_GUARD
#define SEDGECART_TESTS_ENTRY_STOPTALLY_H_HEADER_GUARD

#include "stoprequest.h"

#include <array>
#include <chrono>
#include <mutex>
#include <string>
#include <vector>

namespace sedgecart
{

/// What became of all requests around stops. Any thread.
class StopTally
{
public:
	/// @param _sentAfter time from SIGTERM to the last byte of the request; negative before it.
	void add(const StopAnswer& _answer, const StopRequest& _request, std::chrono::milliseconds _sentAfter);

	/// @param _took time from SIGTERM to the end of the process.
	/// @param _delay time by which SIGTERM was sent later than it was due.
	void addEnd(std::chrono::milliseconds _took, std::chrono::milliseconds _delay, bool _wasKilled);

	/// @returns requests sent so late that their node may not leave them without a whole answer, and that ended so.
	uint32_t late(StopOutcome::Enum _outcome) const;

	/// @returns requests sent after SIGTERM, but before that, that ended so.
	uint32_t early(StopOutcome::Enum _outcome) const;

	/// @returns all requests that ended so.
	uint32_t all(StopOutcome::Enum _outcome) const;

	uint32_t brokenPromises() const;
	uint32_t killed() const;

	/// @returns all figures, and each request that may not have ended as it did.
	std::string text() const;

private:
	using Counts = std::array<uint32_t, StopOutcome::Count>;

	static std::string textOf(const Counts& _counts);

	mutable std::mutex mutex_;
	Counts before_{}; //!< Sent before SIGTERM.
	Counts early_{};
	Counts late_{};
	uint32_t brokenPromises_ = 0;
	uint32_t stops_ = 0;
	uint32_t killed_ = 0;
	std::chrono::milliseconds longest_{0};
	std::chrono::milliseconds longestDelay_{0};
	std::chrono::milliseconds total_{0};
	std::vector<std::string> faults_;
};

} // namespace sedgecart

#endif // SEDGECART_TESTS_ENTRY_STOPTALLY_H_HEADER_GUARD

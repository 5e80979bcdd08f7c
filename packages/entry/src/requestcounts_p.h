// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_ENTRY_REQUESTCOUNTS_P_H_HEADER_GUARD
#define SEDGECART_ENTRY_REQUESTCOUNTS_P_H_HEADER_GUARD

#include <base/errorkind.h>

#include <array>
#include <atomic>
#include <cstdint>

namespace sedgecart
{

/// Counters of a node since its start.
struct RequestCounts
{
	std::atomic<uint64_t> arrived{0};
	std::atomic<uint64_t> passedOn{0};    //!< Answers of targets that were passed on whole.
	std::atomic<uint64_t> brokenOff{0};   //!< Streams that could not be finished.
	std::atomic<uint64_t> callersGone{0}; //!< Callers that left before their answer was complete.
	std::atomic<uint64_t> sends{0};
	std::atomic<uint64_t> repeats{0};
	std::array<std::atomic<uint64_t>, ErrorKind::Count> refused{};
};

} // namespace sedgecart

#endif // SEDGECART_ENTRY_REQUESTCOUNTS_P_H_HEADER_GUARD

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_CORE_RESPONSETIMEESTIMATE_H_HEADER_GUARD
#define SEDGECART_CORE_RESPONSETIMEESTIMATE_H_HEADER_GUARD

#include <base/units.h>

#include <cstddef>
#include <cstdint>

namespace sedgecart
{

/// How long a response is expected to take, and what that is derived from. The parts of a stream are 0 for other
/// requests.
struct ResponseTimeEstimate
{
	Duration total;
	Duration firstEvent;          //!< From the arrival of a stream to its first event.
	Duration gap;                 //!< Per event of a stream.
	uint64_t events = 0;          //!< Of a stream.
	Duration wholeStream;         //!< Most recent streams took no longer; 0 if too few were observed.
	std::size_t observations = 0; //!< Recent gaps of streams, or recent other requests.
};

} // namespace sedgecart

#endif // SEDGECART_CORE_RESPONSETIMEESTIMATE_H_HEADER_GUARD

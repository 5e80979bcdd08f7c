// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_ADMISSION_PENDINGREQUEST_H_HEADER_GUARD
#define SEDGECART_ADMISSION_PENDINGREQUEST_H_HEADER_GUARD

#include <base/units.h>

#include <cstdint>
#include <string>

namespace sedgecart
{

/// A stream of a prioritized service that waits for capacity.
struct PendingRequest
{
	uint64_t id = 0;
	std::string customer;
	uint32_t urgency = 0;  //!< Below kUrgencies; 0 is the most urgent.
	uint64_t tokens = 0;   //!< Tokens that it occupies at each layer.
	bool hasBegun = false; //!< It has delivered events and lost its target.
	Time arrivedAt;
	Time startBy; //!< Latest time of a send that meets the objective of the first event, or of the gap if it has begun.
	Time expiresAt; //!< It leaves the queue by then. `startBy` unless it has begun.
};

} // namespace sedgecart

#endif // SEDGECART_ADMISSION_PENDINGREQUEST_H_HEADER_GUARD

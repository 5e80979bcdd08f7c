// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_BASE_ADVERTISEDRATE_H_HEADER_GUARD
#define SEDGECART_BASE_ADVERTISEDRATE_H_HEADER_GUARD

#include <base/units.h>

#include <cstdint>
#include <optional>

namespace sedgecart
{

/// Requests in a second.
struct RequestRate
{
	double perSecond = 0;
};

/// What a target last said of the requests that it takes from all nodes together.
struct AdvertisedRate
{
	std::optional<RequestRate> limit; //!< None: it names no limit.
	Time heardAt{INT64_MIN};          //!< Steady clock of this node; the earliest there is if it said nothing yet.

	/// @returns true if the target has said something.
	bool isHeard() const
	{
		return INT64_MIN != heardAt.micros;
	}
};

} // namespace sedgecart

#endif // SEDGECART_BASE_ADVERTISEDRATE_H_HEADER_GUARD

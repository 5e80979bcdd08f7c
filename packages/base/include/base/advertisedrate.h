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

/// The request rate limit that a target last advertised, for all nodes together.
struct AdvertisedRate
{
	std::optional<RequestRate> limit; //!< None: the target has no limit.
	Time receivedAt{INT64_MIN};       //!< Steady clock of this node; INT64_MIN while nothing was received.

	/// @returns true if the target has advertised its limit, or that it has none.
	bool isKnown() const
	{
		return INT64_MIN != receivedAt.micros;
	}
};

} // namespace sedgecart

#endif // SEDGECART_BASE_ADVERTISEDRATE_H_HEADER_GUARD

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_BASE_STARTTIME_H_HEADER_GUARD
#define SEDGECART_BASE_STARTTIME_H_HEADER_GUARD

#include <cstdint>

namespace sedgecart
{

/// When a target started, by the target's own clock. That clock may be set back between two starts, so a later start
/// may have a smaller start time.
struct StartTime
{
	int64_t unixMillis = 0; //!< Milliseconds since 1970; 0: not reported.

	constexpr bool isKnown() const
	{
		return 0 != unixMillis;
	}
};

constexpr bool operator==(StartTime _a, StartTime _b)
{
	return _a.unixMillis == _b.unixMillis;
}

constexpr bool operator!=(StartTime _a, StartTime _b)
{
	return !(_a == _b);
}

constexpr bool operator<(StartTime _a, StartTime _b)
{
	return _a.unixMillis < _b.unixMillis;
}

} // namespace sedgecart

#endif // SEDGECART_BASE_STARTTIME_H_HEADER_GUARD

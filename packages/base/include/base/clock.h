// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_BASE_CLOCK_H_HEADER_GUARD
#define SEDGECART_BASE_CLOCK_H_HEADER_GUARD

#include <base/units.h>

namespace sedgecart
{

/// Source of the time that is passed into `core`.
class ClockI
{
public:
	virtual ~ClockI() = default;

	/// @returns the current monotonic time.
	virtual Time now() const = 0;
};

} // namespace sedgecart

#endif // SEDGECART_BASE_CLOCK_H_HEADER_GUARD

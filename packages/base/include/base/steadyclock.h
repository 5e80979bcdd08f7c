// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_BASE_STEADYCLOCK_H_HEADER_GUARD
#define SEDGECART_BASE_STEADYCLOCK_H_HEADER_GUARD

#include <base/clock.h>

namespace sedgecart
{

/// The time of BootClock.
class SteadyClock : public ClockI
{
public:
	Time now() const override;
};

} // namespace sedgecart

#endif // SEDGECART_BASE_STEADYCLOCK_H_HEADER_GUARD

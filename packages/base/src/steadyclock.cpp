// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <base/bootclock.h>
#include <base/steadyclock.h>

namespace sedgecart
{

Time SteadyClock::now() const
{
	return Time{BootClock::now().time_since_epoch().count()};
}

} // namespace sedgecart

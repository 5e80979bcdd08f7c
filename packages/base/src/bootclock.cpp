// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <base/bootclock.h>

#include <ctime>

namespace sedgecart
{

BootClock::time_point BootClock::now() noexcept
{
	timespec time{};
	clock_gettime(CLOCK_BOOTTIME, &time);
	const auto seconds = std::chrono::seconds(time.tv_sec);
	const auto nanoseconds = std::chrono::nanoseconds(time.tv_nsec);
	return time_point(std::chrono::duration_cast<duration>(seconds + nanoseconds));
}

} // namespace sedgecart

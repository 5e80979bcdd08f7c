// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_BASE_BOOTCLOCK_H_HEADER_GUARD
#define SEDGECART_BASE_BOOTCLOCK_H_HEADER_GUARD

#include <chrono>
#include <cstdint>

namespace sedgecart
{

/// The machine's monotonic clock, including the time that the machine was suspended, as a std::chrono clock. With a
/// clock that stops during a suspend, ages would be seconds too small and a revoked key would remain valid.
struct BootClock
{
	using rep = int64_t;
	using period = std::micro;
	using duration = std::chrono::microseconds;
	using time_point = std::chrono::time_point<BootClock>;
	static constexpr bool is_steady = true;

	static time_point now() noexcept;
};

} // namespace sedgecart

#endif // SEDGECART_BASE_BOOTCLOCK_H_HEADER_GUARD

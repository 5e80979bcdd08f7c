// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_AIO_TIMER_H_HEADER_GUARD
#define SEDGECART_AIO_TIMER_H_HEADER_GUARD

#include <base/bootclock.h>

#include <boost/asio/basic_waitable_timer.hpp>

#include <algorithm>
#include <chrono>

namespace sedgecart
{

/// Wait traits that make the loop check the clock at least every `kMaxWait` while a timer is pending. The kernel's
/// waits do not advance while the machine is suspended, so that an unbounded wait would expire late by the length of
/// the suspension.
template <typename Clock> struct BoundedWaitTraits
{
	/// Maximum delay of a timer after a suspension. A loop under load wakes far more often, so the checks cost little.
	static constexpr std::chrono::milliseconds kMaxWait{200};

	// NOLINTNEXTLINE(readability-identifier-naming): name required by asio
	static typename Clock::duration to_wait_duration(const typename Clock::duration& _wait)
	{
		return std::min<typename Clock::duration>(_wait, kMaxWait);
	}

	// NOLINTNEXTLINE(readability-identifier-naming): name required by asio
	static typename Clock::duration to_wait_duration(const typename Clock::time_point& _at)
	{
		return to_wait_duration(_at - Clock::now());
	}
};

/// Timer on a clock that also advances while the kernel's waits do not.
template <typename Clock> using SuspendAwareTimer = boost::asio::basic_waitable_timer<Clock, BoundedWaitTraits<Clock>>;

/// Timer that also counts the time during which the machine is suspended.
using Timer = SuspendAwareTimer<BootClock>;

} // namespace sedgecart

#endif // SEDGECART_AIO_TIMER_H_HEADER_GUARD

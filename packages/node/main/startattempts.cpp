// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "startattempts_p.h"

#include <chrono>
#include <iostream>

namespace sedgecart
{

namespace
{

constexpr std::chrono::seconds kTimeout{30};
constexpr timespec kRetryInterval{0, 250000000};

} // namespace

StartAttempts::StartAttempts(const sigset_t& _signals) : signals_(_signals), end_(BootClock::now() + kTimeout)
{
}

bool StartAttempts::isStop(int _signal)
{
	return SIGTERM == _signal || SIGINT == _signal;
}

bool StartAttempts::await(const std::string& _cause)
{
	if (cause_ != _cause)
	{
		cause_ = _cause;
		std::cerr << "sedgecartd: cannot start yet: " << _cause << std::endl;
	}
	isStopped_ = isStop(sigtimedwait(&signals_, nullptr, &kRetryInterval));
	return !isStopped_ && BootClock::now() < end_;
}

} // namespace sedgecart

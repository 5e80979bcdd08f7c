// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <http/cancellation.h>

#include <sys/eventfd.h>
#include <unistd.h>

#include <cerrno>
#include <system_error>

namespace sedgecart
{

Cancellation::Cancellation() : event_(::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK))
{
	if (event_ < 0)
	{
		throw std::system_error(errno, std::system_category(), "eventfd");
	}
}

Cancellation::~Cancellation()
{
	::close(event_);
}

void Cancellation::cancel()
{
	cancelled_ = true;
	::eventfd_write(event_, 1); // fails only after some 2^64 calls
}

} // namespace sedgecart

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_AIO_TESTS_PLAINHANDLER_H_HEADER_GUARD
#define SEDGECART_AIO_TESTS_PLAINHANDLER_H_HEADER_GUARD

#include <aio/serverconnection.h>

namespace sedgecart
{

/// Limits and timeouts of a test server. The test implements the responses.
class PlainHandler : public ServerHandlerI
{
public:
	uint16_t onBadRequest(ReadState::Enum) override
	{
		return 400;
	}
	void onClosedUnread(uint32_t) override
	{
	}
	ReaderLimits limits() const override
	{
		return ReaderLimits{};
	}
	Duration readTimeout() const override
	{
		return Duration::fromMillis(10000);
	}
	Duration idleTimeout() const override
	{
		return Duration::fromMillis(400);
	}
	bool closing() const override
	{
		return false;
	}
};

} // namespace sedgecart

#endif // SEDGECART_AIO_TESTS_PLAINHANDLER_H_HEADER_GUARD

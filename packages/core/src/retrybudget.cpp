// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <core/retrybudget.h>

#include <base/config.h>

namespace sedgecart
{

namespace
{

constexpr int64_t kHundredths = 100;
constexpr int64_t kMaxHundredths = SEDGECART_CONFIG_RETRY_RESERVE * kHundredths;

} // namespace

RetryBudget::RetryBudget() : hundredths_(kMaxHundredths)
{
}

void RetryBudget::earn()
{
	if (hundredths_.load(std::memory_order_relaxed) < kMaxHundredths)
	{
		hundredths_.fetch_add(SEDGECART_CONFIG_RETRY_PERCENT, std::memory_order_relaxed);
	}
}

bool RetryBudget::spend()
{
	int64_t now = hundredths_.load(std::memory_order_relaxed);
	while (kHundredths <= now)
	{
		if (hundredths_.compare_exchange_weak(now, now - kHundredths, std::memory_order_relaxed))
		{
			return true;
		}
	}
	return false;
}

uint32_t RetryBudget::left() const
{
	return static_cast<uint32_t>(hundredths_.load(std::memory_order_relaxed) / kHundredths);
}

} // namespace sedgecart

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_FLEET_ADVERTISEDRATECELL_H_HEADER_GUARD
#define SEDGECART_FLEET_ADVERTISEDRATECELL_H_HEADER_GUARD

#include <base/advertisedrate.h>

#include <atomic>
#include <cstdint>

namespace sedgecart
{

/// The last rate limit that a target advertised. One thread writes, any thread reads.
class AdvertisedRateCell
{
public:
	void set(const AdvertisedRate& _rate)
	{
		perSecond_.store(_rate.limit ? _rate.limit->perSecond : kNoLimit, std::memory_order_relaxed);
		receivedAt_.store(_rate.receivedAt.micros, std::memory_order_release);
	}

	AdvertisedRate get() const
	{
		AdvertisedRate rate;
		rate.receivedAt = Time{receivedAt_.load(std::memory_order_acquire)};
		const double perSecond = perSecond_.load(std::memory_order_relaxed);
		if (kNoLimit != perSecond)
		{
			rate.limit = RequestRate{perSecond};
		}
		return rate;
	}

private:
	static constexpr double kNoLimit = -1;

	std::atomic<double> perSecond_{kNoLimit};
	std::atomic<int64_t> receivedAt_{INT64_MIN}; //!< Steady clock, microseconds.
};

} // namespace sedgecart

#endif // SEDGECART_FLEET_ADVERTISEDRATECELL_H_HEADER_GUARD

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_LEASES_CAPACITYOFFERS_H_HEADER_GUARD
#define SEDGECART_LEASES_CAPACITYOFFERS_H_HEADER_GUARD

#include <base/units.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace sedgecart
{

/// How long the receiver of an offer may lend it. Leases of it end within another 600 ms.
constexpr Duration kOfferTerm = Duration::fromMillis(300);

/// Capacity of one service that the hubs of different halls offer each other. Each offer replaces the previous one of
/// its sender. The load pattern: one hall is full, and all its nodes turn to the other halls at once. Pure, at the hub,
/// guarded by its caller.
class CapacityOffers
{
public:
	/// This node became the hub: forgets all offers.
	void clear();

	/// Records an offer of another hall.
	/// @param _elsewhere tokens that the nodes of this hall have at targets of other halls now. What they add from now
	/// on is taken from the offer.
	void onOffer(const std::string& _hub, uint64_t _tokens, Duration _term, uint64_t _elsewhere, Time _now);

	/// @param _elsewhere see `onOffer`.
	/// @returns tokens that other halls offer and that were not used yet.
	uint64_t received(uint64_t _elsewhere, Time _now) const;

	/// Offers capacity to the hubs of all other halls in equal parts, and counts it as outstanding.
	/// @param _spareTokens that are offered altogether.
	/// @returns the tokens of each.
	uint64_t offer(uint64_t _spareTokens, std::size_t _hubs, Time _now);

	/// @returns what other halls may use of the offers made to them.
	uint64_t outstanding(Time _now) const;

private:
	struct Received
	{
		uint64_t tokens = 0;
		uint64_t elsewhere = 0;
		Time endsAt;
	};

	struct Made
	{
		uint64_t tokens = 0; //!< Of all hubs together.
		Time endsAt;
	};

	std::map<std::string, Received> received_; //!< By hub.
	std::deque<Made> made_;
};

} // namespace sedgecart

#endif // SEDGECART_LEASES_CAPACITYOFFERS_H_HEADER_GUARD

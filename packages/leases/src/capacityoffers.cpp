// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <leases/capacityoffers.h>

#include <algorithm>

namespace sedgecart
{

namespace
{

/// How long an offer counts at its sender: its term and that of a lease.
constexpr Duration kOfferLifetime = Duration::fromMillis(900);

/// Maximum number of hubs whose offers are stored: several times as many as there are halls.
constexpr std::size_t kMaxHubs = 64;

/// Offers within their lifetime: one each 15 ms at most.
constexpr std::size_t kMaxMade = 64;

} // namespace

void CapacityOffers::clear()
{
	received_.clear();
	made_.clear();
}

void CapacityOffers::onOffer(const std::string& _hub, uint64_t _tokens, Duration _term, uint64_t _elsewhere, Time _now)
{
	for (auto row = received_.begin(); received_.end() != row;)
	{
		row = _now < row->second.endsAt ? std::next(row) : received_.erase(row);
	}
	if (received_.size() < kMaxHubs || 0 < received_.count(_hub))
	{
		received_[_hub] = Received{_tokens, _elsewhere, _now + std::min(_term, kOfferTerm)};
	}
}

uint64_t CapacityOffers::received(uint64_t _elsewhere, Time _now) const
{
	uint64_t sum = 0;
	uint64_t used = 0;
	for (const auto& row : received_)
	{
		const Received& offer = row.second;
		if (_now < offer.endsAt)
		{
			sum += offer.tokens;
			used = std::max(used, _elsewhere - std::min(_elsewhere, offer.elsewhere));
		}
	}
	return sum - std::min(sum, used);
}

uint64_t CapacityOffers::offer(uint64_t _spareTokens, std::size_t _hubs, Time _now)
{
	while (!made_.empty() && !(_now < made_.front().endsAt))
	{
		made_.pop_front();
	}
	const uint64_t each = 0 < _hubs ? _spareTokens / _hubs : 0;
	if (0 < each)
	{
		made_.push_back(Made{each * _hubs, _now + kOfferLifetime});
	}
	if (kMaxMade < made_.size())
	{
		const uint64_t oldest = made_.front().tokens;
		made_.pop_front();
		made_.front().tokens = std::max(made_.front().tokens, oldest);
	}
	return each;
}

/// Each offer replaces the previous one, so that no more than the largest of them is used.
uint64_t CapacityOffers::outstanding(Time _now) const
{
	uint64_t most = 0;
	for (const Made& made : made_)
	{
		most = _now < made.endsAt ? std::max(most, made.tokens) : most;
	}
	return most;
}

} // namespace sedgecart

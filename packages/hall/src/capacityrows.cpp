// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "capacityrows_p.h"

#include <wire/sedgecart.pb.h>

#include <algorithm>

namespace sedgecart
{

namespace
{

constexpr std::size_t kMaxNameBytes = 256;

/// Longest term that is accepted, many times as long as any version uses.
constexpr uint64_t kMaxTermMs = 10000;

/// Largest count of tokens since a node started that is accepted: years of requests.
constexpr uint64_t kMaxUsed = 1ULL << 60U;

using Tokens = google::protobuf::RepeatedField<uint64_t>;

/// Zeros at the end are omitted.
template <typename TokensT> void putTokens(const TokensT& _tokens, Tokens& _row)
{
	std::size_t count = _tokens.size();
	while (0 < count && 0 == _tokens[count - 1])
	{
		--count;
	}
	_row.Add(_tokens.begin(), _tokens.begin() + static_cast<std::ptrdiff_t>(count));
}

template <typename TokensT> bool readTokens(const Tokens& _row, TokensT& _tokens)
{
	const auto count = std::min<std::size_t>(static_cast<std::size_t>(_row.size()), _tokens.size());
	std::copy_n(_row.begin(), count, _tokens.begin());
	return std::all_of(_tokens.begin(), _tokens.end(),
	                   [](uint64_t _value)
	                   {
		                   return _value <= kMaxCapacityTokens;
	                   });
}

bool isName(const std::string& _name)
{
	return !_name.empty() && _name.size() <= kMaxNameBytes;
}

} // namespace

void putDemand(const std::string& _service, const ServiceDemand& _demand, wire::ServiceDemand& _row)
{
	_row.set_service(_service);
	_row.set_lease_used(_demand.leaseUsed);
	_row.set_lease_limit(_demand.leaseLimit);
	_row.set_lease_answer(_demand.leaseAnswer);
	putTokens(_demand.waiting, *_row.mutable_waiting_tokens());
	putTokens(_demand.recent, *_row.mutable_recent_tokens());
	putTokens(_demand.released, *_row.mutable_released_tokens());
	putTokens(_demand.promised, *_row.mutable_promised_tokens());
}

bool readDemand(const wire::ServiceDemand& _row, ServiceDemand& _demand)
{
	_demand = ServiceDemand{};
	_demand.leaseUsed = _row.lease_used();
	_demand.leaseLimit = _row.lease_limit();
	_demand.leaseAnswer = _row.lease_answer();
	const bool isLease = _demand.leaseUsed <= _demand.leaseLimit && _demand.leaseUsed <= kMaxUsed &&
	                     _demand.leaseLimit - _demand.leaseUsed <= kMaxCapacityTokens;
	const bool areTokens =
	    readTokens(_row.waiting_tokens(), _demand.waiting) && readTokens(_row.recent_tokens(), _demand.recent) &&
	    readTokens(_row.released_tokens(), _demand.released) && readTokens(_row.promised_tokens(), _demand.promised);
	return isName(_row.service()) && isLease && areTokens;
}

void putCapacity(const std::string& _service, const ServiceCapacity& _capacity, wire::ServiceCapacity& _row)
{
	_row.set_service(_service);
	_row.set_lease_limit(_capacity.leaseLimit);
	_row.set_lease_term_ms(static_cast<uint64_t>(_capacity.leaseTerm.millis()));
	_row.set_max_urgency(_capacity.maxUrgency);
	if (_capacity.hasForecast)
	{
		_row.mutable_forecast_tokens()->Add(_capacity.forecast.begin(), _capacity.forecast.end());
	}
}

bool readCapacity(const wire::ServiceCapacity& _row, ServiceCapacity& _capacity)
{
	_capacity = ServiceCapacity{};
	_capacity.leaseLimit = _row.lease_limit();
	_capacity.leaseTerm = Duration::fromMillis(static_cast<int64_t>(std::min(kMaxTermMs, _row.lease_term_ms())));
	_capacity.hasForecast = 0 < _row.forecast_tokens_size();
	_capacity.maxUrgency = static_cast<uint32_t>(std::min<uint64_t>(kUrgencies - 1, _row.max_urgency()));
	return isName(_row.service()) && _row.lease_term_ms() <= kMaxTermMs &&
	       _capacity.leaseLimit <= kMaxUsed + kMaxCapacityTokens &&
	       readTokens(_row.forecast_tokens(), _capacity.forecast);
}

bool readOffer(const wire::CapacityOffer& _row, OfferedCapacity& _offer)
{
	_offer.tokens = _row.tokens();
	_offer.term = Duration::fromMillis(static_cast<int64_t>(std::min(kMaxTermMs, _row.term_ms())));
	return isName(_row.service()) && _row.term_ms() <= kMaxTermMs && _offer.tokens <= kMaxCapacityTokens;
}

} // namespace sedgecart

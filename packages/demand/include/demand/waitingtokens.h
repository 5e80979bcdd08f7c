// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_DEMAND_WAITINGTOKENS_H_HEADER_GUARD
#define SEDGECART_DEMAND_WAITINGTOKENS_H_HEADER_GUARD

#include <demand/servicedemand.h>

#include <array>
#include <atomic>
#include <cstdint>

namespace sedgecart
{

/// Tokens of the requests of a node that wait for capacity, by urgency. Written by the request thread, read by any.
class WaitingTokens
{
public:
	void set(const UrgencyTokens& _tokens);
	UrgencyTokens get() const;

private:
	std::array<std::atomic<uint64_t>, kUrgencies> tokens_{};
};

} // namespace sedgecart

#endif // SEDGECART_DEMAND_WAITINGTOKENS_H_HEADER_GUARD

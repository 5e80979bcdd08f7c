// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <demand/waitingtokens.h>

namespace sedgecart
{

void WaitingTokens::set(const UrgencyTokens& _tokens)
{
	for (std::size_t urgency = 0; urgency < kUrgencies; ++urgency)
	{
		tokens_[urgency].store(_tokens[urgency], std::memory_order_relaxed);
	}
}

UrgencyTokens WaitingTokens::get() const
{
	UrgencyTokens tokens{};
	for (std::size_t urgency = 0; urgency < kUrgencies; ++urgency)
	{
		tokens[urgency] = tokens_[urgency].load(std::memory_order_relaxed);
	}
	return tokens;
}

} // namespace sedgecart

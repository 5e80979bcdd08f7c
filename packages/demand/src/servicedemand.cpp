// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <demand/servicedemand.h>

#include <algorithm>
#include <limits>

namespace sedgecart
{

uint64_t totalTokens(const UrgencyTokens& _tokens)
{
	uint64_t sum = 0;
	for (const uint64_t tokens : _tokens)
	{
		sum += std::min(tokens, std::numeric_limits<uint64_t>::max() - sum);
	}
	return sum;
}

} // namespace sedgecart

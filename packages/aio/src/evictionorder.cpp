// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "evictionorder_p.h"

#include <algorithm>
#include <tuple>

namespace sedgecart
{

void sortForEviction(std::vector<EvictionCandidate>& _candidates)
{
	std::sort(_candidates.begin(), _candidates.end(),
	          [](const EvictionCandidate& _a, const EvictionCandidate& _b)
	          {
		          return std::tie(_a.hasAnswered, _a.readAt) < std::tie(_b.hasAnswered, _b.readAt);
	          });
}

} // namespace sedgecart

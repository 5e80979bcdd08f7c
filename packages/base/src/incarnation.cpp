// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <base/incarnation.h>

#include <cstdio>
#include <random>

namespace sedgecart
{

Incarnation::Incarnation()
{
	constexpr int kWords = 4;
	std::random_device entropy;
	for (int word = 0; word < kWords; ++word)
	{
		char hex[16];
		std::snprintf(hex, sizeof(hex), "%08x", entropy());
		text_ += hex;
	}
}

std::string Incarnation::nextId()
{
	return text_ + "-" + std::to_string(++counter_);
}

} // namespace sedgecart

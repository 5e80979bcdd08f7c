// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_BASE_RANDOM_H_HEADER_GUARD
#define SEDGECART_BASE_RANDOM_H_HEADER_GUARD

#include <cstdint>

namespace sedgecart
{

/// Source of the random numbers that are passed into `core`.
class RandomI
{
public:
	virtual ~RandomI() = default;

	/// @returns 64 uniformly random bits.
	virtual uint64_t next() = 0;

	/// @param _bound above 0.
	/// @returns a number below `_bound`.
	uint32_t below(uint32_t _bound)
	{
		return static_cast<uint32_t>(((next() >> 32) * _bound) >> 32);
	}
};

} // namespace sedgecart

#endif // SEDGECART_BASE_RANDOM_H_HEADER_GUARD

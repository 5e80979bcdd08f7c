// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_BASE_SEEDEDRANDOM_H_HEADER_GUARD
#define SEDGECART_BASE_SEEDEDRANDOM_H_HEADER_GUARD

#include <base/random.h>

#include <random>

namespace sedgecart
{

/// Seeded pseudo-random numbers: the same seed gives the same sequence.
class SeededRandom : public RandomI
{
public:
	explicit SeededRandom(uint64_t _seed) : engine_(_seed)
	{
	}

	uint64_t next() override
	{
		return engine_();
	}

private:
	std::mt19937_64 engine_;
};

} // namespace sedgecart

#endif // SEDGECART_BASE_SEEDEDRANDOM_H_HEADER_GUARD

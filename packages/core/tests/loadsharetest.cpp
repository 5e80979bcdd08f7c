// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <base/seededrandom.h>
#include <core/loadshare.h>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>

namespace sedgecart
{

namespace
{

constexpr uint32_t kNodes = 20;
constexpr uint32_t kAttempts = 30; // of each node between two reports
constexpr double kRequest = 900;   // tokens

/// @returns the requests that all nodes add to one target between two reports, if each has more than it may add.
uint32_t burst(double _free, RandomI& _random)
{
	const LoadShare share(kNodes);
	uint32_t added = 0;
	for (uint32_t node = 0; node < kNodes; ++node)
	{
		const double draw = static_cast<double>(_random.below(1000000)) / 1000000;
		double own = 0;
		for (uint32_t attempt = 0; attempt < kAttempts; ++attempt)
		{
			if (share.admits(_free, own, kRequest, draw))
			{
				own += kRequest;
				++added;
			}
		}
	}
	return added;
}

} // namespace

class LoadShareTest : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(LoadShareTest);
	CPPUNIT_TEST(burstFillsAFreeTarget);
	CPPUNIT_TEST(burstDoesNotOverfillANearlyFullTarget);
	CPPUNIT_TEST(fullTargetGetsNothing);
	CPPUNIT_TEST(endedLoadMakesRoom);
	CPPUNIT_TEST_SUITE_END();

public:
	/// A burst at 20 nodes must be able to use the free capacity: at least nine tenths of it.
	void burstFillsAFreeTarget()
	{
		constexpr double kFree = 100 * kRequest;
		SeededRandom random(1);
		const uint32_t added = burst(kFree, random);
		CPPUNIT_ASSERT_MESSAGE(std::to_string(added), 90 <= added && added <= 100 + kNodes);
	}

	/// With room for 7 requests at 20 nodes, all nodes at once would add 600. On the mean of many bursts they add 7,
	/// and never more than one each.
	void burstDoesNotOverfillANearlyFullTarget()
	{
		constexpr uint32_t kBursts = 1000;
		constexpr double kRoom = 7;
		SeededRandom random(2);
		uint32_t sum = 0;
		uint32_t most = 0;
		for (uint32_t round = 0; round < kBursts; ++round)
		{
			const uint32_t added = burst(kRoom * kRequest, random);
			sum += added;
			most = std::max(most, added);
		}
		const double mean = static_cast<double>(sum) / kBursts;
		CPPUNIT_ASSERT_MESSAGE(std::to_string(mean), 0.95 * kRoom < mean && mean < 1.05 * kRoom);
		CPPUNIT_ASSERT_MESSAGE(std::to_string(most), most <= kNodes);
	}

	void fullTargetGetsNothing()
	{
		const LoadShare share(kNodes);
		CPPUNIT_ASSERT(!share.admits(0, 0, kRequest, 0));
		CPPUNIT_ASSERT(!share.admits(-kRequest, -10 * kRequest, kRequest, 0));
	}

	/// A node whose own requests have ended since its report may replace them.
	void endedLoadMakesRoom()
	{
		const LoadShare share(kNodes);
		CPPUNIT_ASSERT(!share.admits(kRequest, 0, kRequest, 0.5));
		CPPUNIT_ASSERT(share.admits(kRequest, -kRequest, kRequest, 0.99));
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoadShareTest);

} // namespace sedgecart

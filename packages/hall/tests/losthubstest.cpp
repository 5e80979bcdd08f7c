// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "simulatedhall.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>

namespace sedgecart
{

namespace
{

constexpr uint64_t kSeeds = 5;
constexpr int64_t kEndAt = 10000;    // the first nodes end, milliseconds from the start
constexpr int64_t kPlayTime = 50000; // milliseconds
constexpr int64_t kStep = 50;        // between two looks at the nodes, milliseconds

/// Maximum age of the operator's state, milliseconds, for which keys may be used.
constexpr int64_t kMaxProofAge = 4500;

} // namespace

class LostHubsTest : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(LostHubsTest);
	CPPUNIT_TEST(nodesThatAreLeftKeepReadingTheStore);
	CPPUNIT_TEST_SUITE_END();

public:
	/// The first candidates for hub end at once and their records stay. The nodes that are left asked them again and
	/// again, and were without a proof of the desired state for seconds each time.
	void nodesThatAreLeftKeepReadingTheStore()
	{
		for (const std::size_t nodes : {2U, 4U, 9U, 17U, 67U})
		{
			for (const std::size_t lost : {nodes / 4, nodes / 2, nodes - 2, nodes - 1})
			{
				for (uint64_t seed = 1; seed <= kSeeds; ++seed)
				{
					check(nodes, lost, seed);
				}
			}
		}
	}

private:
	static void check(std::size_t _nodes, std::size_t _lost, uint64_t _seed)
	{
		const std::string name = std::to_string(_lost) + " of " + std::to_string(_nodes) + " nodes lost, seed " +
		                         std::to_string(_seed) + ": ";
		SimulatedHall hall(_nodes, _seed);
		hall.runTo(kEndAt);
		hall.endFirst(_lost);
		for (int64_t now = kEndAt; now < kPlayTime; now += kStep)
		{
			hall.runTo(now);
			const int64_t age = hall.maxProofAge();
			const std::string text = name + std::to_string(age) + " ms old at " + std::to_string(now) + " ms";
			CPPUNIT_ASSERT_MESSAGE(text, age <= kMaxProofAge);
		}
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(LostHubsTest);

} // namespace sedgecart

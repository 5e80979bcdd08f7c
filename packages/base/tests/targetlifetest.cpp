// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <base/targetlife.h>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <string>
#include <vector>

namespace sedgecart
{

namespace
{

TargetLife life(int64_t _born)
{
	return TargetLife{InstanceId{"t1"}, BirthTime{_born}};
}

/// Births of a few starts, so that equal ones and ones that go back are common; 0: not told.
std::vector<int64_t> someBirths()
{
	return *rc::gen::nonEmpty(rc::gen::container<std::vector<int64_t>>(rc::gen::inRange<int64_t>(0, 5)));
}

} // namespace

class TargetLifeTest : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(TargetLifeTest);
	CPPUNIT_TEST(laterRecordWithAnotherBirthIsARestart);
	CPPUNIT_TEST(birthsOrderWordsThatNothingElseOrders);
	CPPUNIT_TEST(aMissingBirthIsNoRestart);
	CPPUNIT_TEST(otherTargetsSayNothing);
	CPPUNIT_TEST(wordsInOrderEndAtTheLastBirth);
	CPPUNIT_TEST(wordsInAnyOrderEndAtTheLatestBirth);
	CPPUNIT_TEST(newerAndOlderMirrorEachOther);
	CPPUNIT_TEST_SUITE_END();

public:
	void laterRecordWithAnotherBirthIsARestart()
	{
		// A target's clock may be set back before it starts again. Its next record in the registry then has a smaller
		// birth, and a node that went by the larger one would send to the earlier life until the clock has caught up.
		CPPUNIT_ASSERT_EQUAL(LifeOrder::Newer, compareLives(life(7), life(9), LifeEvidence::After));
		CPPUNIT_ASSERT_EQUAL(LifeOrder::Newer, compareLives(life(7), life(5), LifeEvidence::After));
		CPPUNIT_ASSERT_EQUAL(LifeOrder::Same, compareLives(life(7), life(7), LifeEvidence::After));
	}

	void birthsOrderWordsThatNothingElseOrders()
	{
		// Peers may tell for a while what they knew of the earlier life. It must not be taken for a restart, or two
		// nodes that tell each other would see one restart after the other.
		CPPUNIT_ASSERT_EQUAL(LifeOrder::Older, compareLives(life(7), life(5), LifeEvidence::Unknown));
		CPPUNIT_ASSERT_EQUAL(LifeOrder::Newer, compareLives(life(7), life(9), LifeEvidence::Unknown));
		CPPUNIT_ASSERT_EQUAL(LifeOrder::Same, compareLives(life(7), life(7), LifeEvidence::Unknown));
	}

	void aMissingBirthIsNoRestart()
	{
		// Targets of an older version tell no birth, and another writer may put an entry without one between two of the
		// target's own. Neither says that what the target held is lost.
		for (const LifeEvidence::Enum evidence : {LifeEvidence::After, LifeEvidence::Unknown})
		{
			CPPUNIT_ASSERT_EQUAL(LifeOrder::Same, compareLives(life(0), life(0), evidence));
			CPPUNIT_ASSERT_EQUAL(LifeOrder::Same, compareLives(life(7), life(0), evidence));
			CPPUNIT_ASSERT_EQUAL(LifeOrder::Same, compareLives(life(0), life(7), evidence));
			CPPUNIT_ASSERT(life(7) == lifeAfter(life(7), life(0), evidence));
			CPPUNIT_ASSERT(life(7) == lifeAfter(life(0), life(7), evidence));
		}
	}

	void otherTargetsSayNothing()
	{
		const TargetLife other{InstanceId{"t2"}, BirthTime{9}};
		CPPUNIT_ASSERT_EQUAL(LifeOrder::Unrelated, compareLives(life(7), other, LifeEvidence::After));
		CPPUNIT_ASSERT(life(7) == lifeAfter(life(7), other, LifeEvidence::After));
		CPPUNIT_ASSERT(life(0) == lifeAfter(life(0), other, LifeEvidence::After));
	}

	void wordsInOrderEndAtTheLastBirth()
	{
		// Nodes that read the same records, each from another one on, must agree on the life in the end.
		CPPUNIT_ASSERT(rc::check("words in order end at the last birth told",
		                         []
		                         {
			                         const std::vector<int64_t> births = someBirths();
			                         TargetLife known = life(0);
			                         int64_t last = 0;
			                         for (const int64_t born : births)
			                         {
				                         known = lifeAfter(known, life(born), LifeEvidence::After);
				                         last = 0 == born ? last : born;
			                         }
			                         RC_ASSERT(last == known.born.unixMillis);
		                         }));
	}

	void wordsInAnyOrderEndAtTheLatestBirth()
	{
		// What peers tell comes late, twice and in any order; it must end at the same life for all.
		CPPUNIT_ASSERT(rc::check("words in any order end at the latest birth told",
		                         []
		                         {
			                         const std::vector<int64_t> births = someBirths();
			                         TargetLife known = life(0);
			                         for (const int64_t born : births)
			                         {
				                         known = lifeAfter(known, life(born), LifeEvidence::Unknown);
			                         }
			                         RC_ASSERT(*std::max_element(births.begin(), births.end()) ==
			                                   known.born.unixMillis);
		                         }));
	}

	void newerAndOlderMirrorEachOther()
	{
		CPPUNIT_ASSERT(rc::check("of two lives at most one is the newer",
		                         []
		                         {
			                         const TargetLife a = life(*rc::gen::inRange<int64_t>(0, 5));
			                         const TargetLife b = life(*rc::gen::inRange<int64_t>(0, 5));
			                         const LifeOrder::Enum there = compareLives(a, b, LifeEvidence::Unknown);
			                         const LifeOrder::Enum back = compareLives(b, a, LifeEvidence::Unknown);
			                         RC_ASSERT((LifeOrder::Newer == there) == (LifeOrder::Older == back));
			                         RC_ASSERT((LifeOrder::Same == there) == (LifeOrder::Same == back));
		                         }));
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetLifeTest);

} // namespace sedgecart

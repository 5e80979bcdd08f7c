// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <core/heldcount.h>

#include <cppunit/extensions/HelperMacros.h>

namespace sedgecart
{

namespace
{

constexpr Time at(int64_t _seconds)
{
	return Time{_seconds * 1000000};
}

} // namespace

class HeldCountTest : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(HeldCountTest);
	CPPUNIT_TEST(unknownCountIsZero);
	CPPUNIT_TEST(risesAtOnceAndFallsLater);
	CPPUNIT_TEST(largestOfSeveralFallsCounts);
	CPPUNIT_TEST(tellsHowLongItIsKnown);
	CPPUNIT_TEST_SUITE_END();

public:
	void unknownCountIsZero()
	{
		CPPUNIT_ASSERT_EQUAL(0U, HeldCount().at(at(5)).count);
	}

	void risesAtOnceAndFallsLater()
	{
		HeldCount count;
		count.set(1, at(0));
		count.set(6, at(1));
		CPPUNIT_ASSERT_EQUAL(6U, count.at(at(1)).count);
		count.set(1, at(100));
		CPPUNIT_ASSERT_EQUAL(6U, count.at(at(129)).count);
		CPPUNIT_ASSERT_EQUAL(1U, count.at(at(130)).count);
	}

	void largestOfSeveralFallsCounts()
	{
		HeldCount count;
		count.set(9, at(0));
		count.set(5, at(10));
		count.set(7, at(15));
		count.set(2, at(20));
		CPPUNIT_ASSERT_EQUAL(9U, count.at(at(39)).count);
		CPPUNIT_ASSERT_EQUAL(7U, count.at(at(49)).count);
		CPPUNIT_ASSERT_EQUAL(2U, count.at(at(50)).count);
	}

	void tellsHowLongItIsKnown()
	{
		HeldCount count;
		CPPUNIT_ASSERT_EQUAL(int64_t(0), count.at(at(5)).knownFor.millis());
		count.set(1, at(10));
		count.set(2, at(20));
		CPPUNIT_ASSERT_EQUAL(int64_t(15000), count.at(at(25)).knownFor.millis());
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(HeldCountTest);

} // namespace sedgecart

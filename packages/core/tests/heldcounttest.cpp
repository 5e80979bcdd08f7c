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
	CPPUNIT_TEST_SUITE_END();

public:
	void unknownCountIsZero()
	{
		CPPUNIT_ASSERT_EQUAL(0U, HeldCount().at(at(5)));
	}

	void risesAtOnceAndFallsLater()
	{
		HeldCount count;
		count.set(1, at(0));
		count.set(6, at(1));
		CPPUNIT_ASSERT_EQUAL(6U, count.at(at(1)));
		count.set(1, at(100));
		CPPUNIT_ASSERT_EQUAL(6U, count.at(at(129)));
		CPPUNIT_ASSERT_EQUAL(1U, count.at(at(130)));
	}

	void largestOfSeveralFallsCounts()
	{
		HeldCount count;
		count.set(9, at(0));
		count.set(5, at(10));
		count.set(7, at(15));
		count.set(2, at(20));
		CPPUNIT_ASSERT_EQUAL(9U, count.at(at(39)));
		CPPUNIT_ASSERT_EQUAL(7U, count.at(at(49)));
		CPPUNIT_ASSERT_EQUAL(2U, count.at(at(50)));
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(HeldCountTest);

} // namespace sedgecart

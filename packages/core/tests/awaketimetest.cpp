// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <core/awaketime.h>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <vector>

namespace sedgecart
{

namespace
{

constexpr Duration kPause = Duration::fromMillis(8);

} // namespace

class AwakeTimeTest : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(AwakeTimeTest);
	CPPUNIT_TEST(timeOfANodeThatIsNeverLateCountsWhole);
	CPPUNIT_TEST(standstillCountsAsOneLook);
	CPPUNIT_TEST(halfOfTheProcessorStretchesTwice);
	CPPUNIT_TEST(withoutLooksNothingCounts);
	CPPUNIT_TEST(afterARestartThePauseIsNoLateness);
	CPPUNIT_TEST(neverMoreThanPassed);
	CPPUNIT_TEST_SUITE_END();

public:
	void timeOfANodeThatIsNeverLateCountsWhole()
	{
		AwakeTime awake(kPause);
		looks(awake, 0, 8, 20);
		CPPUNIT_ASSERT_EQUAL(int64_t(40), awake.since(at(120), at(160)).millis());
		CPPUNIT_ASSERT_EQUAL(int64_t(43), awake.since(at(117), at(160)).millis());
		CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, awake.stretch(), 0.01);
	}

	void standstillCountsAsOneLook()
	{
		AwakeTime awake(kPause);
		looks(awake, 0, 8, 10); // to 80
		awake.look(at(580));
		CPPUNIT_ASSERT_EQUAL(int64_t(0), awake.since(at(90), at(580)).millis()); // nothing of the gap is sure
		CPPUNIT_ASSERT_EQUAL(int64_t(9), awake.since(at(80), at(580)).millis());
		CPPUNIT_ASSERT_EQUAL(int64_t(18), awake.since(at(80), at(900)).millis()); // nor the time without a look
		CPPUNIT_ASSERT(8 <= awake.stretch());
	}

	void halfOfTheProcessorStretchesTwice()
	{
		AwakeTime awake(kPause);
		looks(awake, 0, 18, 20);
		CPPUNIT_ASSERT_DOUBLES_EQUAL(2.0, awake.stretch(), 0.2);
	}

	void withoutLooksNothingCounts()
	{
		AwakeTime awake(kPause);
		CPPUNIT_ASSERT_EQUAL(int64_t(0), awake.since(at(0), at(5)).micros);
		awake.look(at(10));
		CPPUNIT_ASSERT_EQUAL(int64_t(0), awake.since(at(10), at(10)).micros);
		CPPUNIT_ASSERT_EQUAL(int64_t(4), awake.since(at(12), at(16)).millis());
		CPPUNIT_ASSERT_EQUAL(int64_t(0), awake.since(at(50), at(16)).micros);
		CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, awake.stretch(), 0);
	}

	void afterARestartThePauseIsNoLateness()
	{
		AwakeTime awake(kPause);
		looks(awake, 0, 8, 10);
		awake.restart();
		looks(awake, 5000, 8, 10);
		CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, awake.stretch(), 0.01);
		CPPUNIT_ASSERT_EQUAL(int64_t(80), awake.since(at(80), at(5080)).millis());
	}

	void neverMoreThanPassed()
	{
		CPPUNIT_ASSERT(rc::check("awake time is at most the time that passed, and never negative",
		                         []
		                         {
			                         const auto gaps =
			                             *rc::gen::container<std::vector<uint16_t>>(rc::gen::inRange<uint16_t>(0, 300));
			                         AwakeTime awake(kPause);
			                         int64_t now = 1000;
			                         for (const uint16_t gap : gaps)
			                         {
				                         now += gap;
				                         awake.look(at(now));
			                         }
			                         const int64_t moment = *rc::gen::inRange<int64_t>(0, now + 100);
			                         const Duration counted = awake.since(at(moment), at(now));
			                         RC_ASSERT(0 <= counted.micros);
			                         RC_ASSERT(counted.millis() <= std::max<int64_t>(0, now - moment));
			                         RC_ASSERT(1 <= awake.stretch());
		                         }));
	}

private:
	static Time at(int64_t _millis)
	{
		return Time{_millis * 1000};
	}

	/// Looks at a moment and so many times more, each some time after the last one.
	static void looks(AwakeTime& _awake, int64_t _firstMs, int64_t _gapMs, int _count)
	{
		for (int look = 0; look <= _count; ++look)
		{
			_awake.look(at(_firstMs + look * _gapMs));
		}
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(AwakeTimeTest);

} // namespace sedgecart

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <base/seededrandom.h>
#include <demand/waitingtokens.h>
#include <forecast/releasetimeline.h>
#include <forecast/returnplanner.h>

#include <cppunit/extensions/HelperMacros.h>

#include <numeric>

namespace sedgecart
{

namespace
{

constexpr Time kNow{1'000'000'000};

Time in(int64_t _millis)
{
	return kNow + Duration::fromMillis(_millis);
}

} // namespace

class ReturnPlannerTest : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(ReturnPlannerTest);
	CPPUNIT_TEST(releasesAreSummedByStep);
	CPPUNIT_TEST(callersReturnWhenThereIsRoom);
	CPPUNIT_TEST(moreUrgentCallersReturnEarlier);
	CPPUNIT_TEST(waitingRequestsGoFirst);
	CPPUNIT_TEST(callersWithoutRoomReturnAfterTheForecast);
	CPPUNIT_TEST(anOldForecastGivesWayToOwnReleases);
	CPPUNIT_TEST_SUITE_END();

public:
	void releasesAreSummedByStep()
	{
		releases_.add(10, in(0));
		releases_.add(20, in(499));
		releases_.add(30, in(4999));
		releases_.add(40, in(5000));
		releases_.add(50, in(110'000)); // a ring of 1,024 slots would count it as near
		releases_.add(60, in(-100));
		CPPUNIT_ASSERT_EQUAL(uint64_t(30), releases_.released(kNow)[0]);
		CPPUNIT_ASSERT_EQUAL(uint64_t(30), releases_.released(kNow)[9]);
		releases_.remove(20, in(499));
		CPPUNIT_ASSERT_EQUAL(uint64_t(10), releases_.released(kNow)[0]);
		CPPUNIT_ASSERT_EQUAL(uint64_t(70), releases_.released(in(100))[9]);
	}

	void callersReturnWhenThereIsRoom()
	{
		planner_.setForecast(StepTokens{0, 100, 100, 100, 200, 200, 200, 200, 200, 200}, kNow);
		CPPUNIT_ASSERT_EQUAL(int64_t(1000), planner_.expectedIn(100, 2, kNow)->millis());
		assertReturns(100, 2, 1000);
		CPPUNIT_ASSERT_EQUAL(int64_t(2500), planner_.expectedIn(100, 2, kNow)->millis());
		assertReturns(100, 2, 2500);
		CPPUNIT_ASSERT(!planner_.expectedIn(1, 2, kNow));
		const StepTokens promised = planner_.promised(kNow);
		CPPUNIT_ASSERT_EQUAL(uint64_t(100), promised[2] + promised[3]);
		CPPUNIT_ASSERT_EQUAL(uint64_t(100), promised[5] + promised[6]);
		CPPUNIT_ASSERT_EQUAL(uint64_t(0), planner_.promised(in(3500))[0]);
	}

	/// Guards against urgent callers that return late because less urgent ones were refused before them.
	void moreUrgentCallersReturnEarlier()
	{
		planner_.setForecast(StepTokens{0, 100, 100, 100, 200, 200, 200, 200, 200, 200}, kNow);
		assertReturns(100, 2, 1000);
		assertReturns(100, 0, 1000);
		assertReturns(100, 1, 2500);
	}

	void waitingRequestsGoFirst()
	{
		UrgencyTokens waiting{};
		waiting[1] = 100;
		waiting_.set(waiting);
		planner_.setForecast(StepTokens{0, 100, 100, 100, 200, 200, 200, 200, 200, 200}, kNow);
		CPPUNIT_ASSERT_EQUAL(int64_t(2500), planner_.expectedIn(100, 1, kNow)->millis());
		CPPUNIT_ASSERT_EQUAL(int64_t(1000), planner_.expectedIn(100, 0, kNow)->millis());
	}

	/// Guards against callers that return within the overload and are refused again, and against promises that count
	/// again when their slots are reused after 12.8 s.
	void callersWithoutRoomReturnAfterTheForecast()
	{
		for (const Time now : {kNow, in(12'800)})
		{
			planner_.setForecast(StepTokens{}, now);
			for (int caller = 0; caller < 200; ++caller)
			{
				const int64_t millis = planner_.planReturn(1, 0, now, random_)->millis();
				CPPUNIT_ASSERT(5000 <= millis && millis < 7500);
			}
			const StepTokens promised = planner_.promised(now + Duration::fromMillis(5000));
			CPPUNIT_ASSERT_EQUAL(uint64_t(200), std::accumulate(promised.begin(), promised.end(), uint64_t(0)));
		}
	}

	/// Guards against a forecast that is used after the hub is lost.
	void anOldForecastGivesWayToOwnReleases()
	{
		CPPUNIT_ASSERT(!planner_.hasForecast(kNow) && !planner_.planReturn(1, 0, kNow, random_)); // nothing is known
		releases_.add(100, in(2000));
		planner_.setForecast(StepTokens{100, 100, 100, 100, 100, 100, 100, 100, 100, 100}, kNow);
		CPPUNIT_ASSERT(planner_.expectedIn(100, 0, in(1500))->millis() == 0);
		CPPUNIT_ASSERT(0 < planner_.expectedIn(100, 0, in(1501))->millis());
		CPPUNIT_ASSERT(!planner_.expectedIn(101, 0, in(1501)));
	}

private:
	/// A caller returns within a step after there is room.
	void assertReturns(uint64_t _tokens, uint32_t _urgency, int64_t _roomMillis)
	{
		const int64_t millis = planner_.planReturn(_tokens, _urgency, kNow, random_)->millis();
		CPPUNIT_ASSERT(_roomMillis <= millis && millis < _roomMillis + kForecastStep.millis());
	}

	ReleaseTimeline releases_;
	WaitingTokens waiting_;
	ReturnPlanner planner_{releases_, waiting_};
	SeededRandom random_{1};
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReturnPlannerTest);

} // namespace sedgecart

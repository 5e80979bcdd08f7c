// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <fleet/fleetview.h>
#include <loads/loadboard.h>
#include <loads/loadrows.h>
#include <wire/sedgecart.pb.h>

#include <cppunit/extensions/HelperMacros.h>

namespace sedgecart
{

namespace
{

TargetLife life(const char* _instance, int64_t _born = 0)
{
	return TargetLife{InstanceId{_instance}, BirthTime{_born}};
}

} // namespace

class LoadBoardTest : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(LoadBoardTest);
	CPPUNIT_TEST(hallAndOtherHallsAddUp);
	CPPUNIT_TEST(aSilentNodeCountsNoMore);
	CPPUNIT_TEST(nothingFallsBelowZero);
	CPPUNIT_TEST(startsOfATargetDoNotAddUp);
	CPPUNIT_TEST(sumsStopAtTheirMost);
	CPPUNIT_TEST(everNewNodesAreNotKept);
	CPPUNIT_TEST(theNewestWordOnARateLimitCounts);
	CPPUNIT_TEST(rateLimitsAreToldByTheirAge);
	CPPUNIT_TEST_SUITE_END();

public:
	void hallAndOtherHallsAddUp()
	{
		board_.takeReport("n2", 7, LoadTable{{life("t1"), {100, 1}}}, kNow);
		board_.takeSum("far", LoadTable{{life("t1"), {1000, 5}}, {life("t2"), {10, 1}}}, kNow);
		const LoadTable hall = board_.addUp(LoadTable{{life("t1"), {50, 2}}}, kNow);
		CPPUNIT_ASSERT_EQUAL(uint64_t(150), hall.at(life("t1")).tokenLayers);
		CPPUNIT_ASSERT_EQUAL(std::size_t(0), hall.count(life("t2")));
		const auto totals = board_.totals();
		CPPUNIT_ASSERT_EQUAL(uint64_t(1150), totals->loads.at(life("t1")).tokenLayers);
		CPPUNIT_ASSERT_EQUAL(8U, totals->loads.at(life("t1")).requests);
		CPPUNIT_ASSERT_EQUAL(uint64_t(7), totals->counted.at("n2"));
		CPPUNIT_ASSERT((std::vector<std::string>{"far"}) == board_.hubs(kNow));
	}

	void aSilentNodeCountsNoMore()
	{
		board_.takeReport("n2", 1, LoadTable{{life("t1"), {100, 1}}}, kNow);
		board_.takeSum("far", LoadTable{{life("t1"), {1000, 5}}}, kNow);
		const Time later = kNow + Duration::fromMillis(1000);
		board_.addUp(LoadTable{}, later);
		CPPUNIT_ASSERT_EQUAL(uint64_t(1000), board_.totals()->loads.at(life("t1")).tokenLayers);
		board_.addUp(LoadTable{}, later + Duration::fromMillis(1000));
		CPPUNIT_ASSERT(board_.totals()->loads.empty());
	}

	/// A limit that was taken back must not come back with an older report.
	void theNewestWordOnARateLimitCounts()
	{
		const Time later = kNow + Duration::fromMillis(100);
		const LoadAmount limited{0, 0, 0, 0, AdvertisedRate{RequestRate{2.6}, kNow}};
		const LoadAmount takenBack{0, 0, 0, 0, AdvertisedRate{std::nullopt, later}};
		board_.takeReport("n2", 1, LoadTable{{life("t1"), takenBack}}, later);
		board_.takeSum("far", LoadTable{{life("t1"), limited}}, later);
		board_.addUp(LoadTable{{life("t1"), {100, 1}}}, later);
		const AdvertisedRate word = board_.totals()->loads.at(life("t1")).rate;
		CPPUNIT_ASSERT(!word.limit);
		CPPUNIT_ASSERT_EQUAL(later.micros, word.heardAt.micros);
	}

	void rateLimitsAreToldByTheirAge()
	{
		const LoadTable table{{life("t1"), {100, 1, 0, 0, AdvertisedRate{RequestRate{2.6}, kNow}}},
		                      {life("t2"), {100, 1, 0, 0, AdvertisedRate{std::nullopt, kNow}}},
		                      {life("t3"), {100, 1}}};
		wire::HallSum sum;
		putLoadRows(table, kNow + Duration::fromMillis(250), *sum.mutable_loads());
		const Time there{5000000}; // the clock of another node
		const LoadTable told = loadTableOf(sum.loads(), there);
		CPPUNIT_ASSERT_EQUAL(2.6, told.at(life("t1")).rate.limit->perSecond);
		CPPUNIT_ASSERT_EQUAL(there.micros - 250000, told.at(life("t1")).rate.heardAt.micros);
		CPPUNIT_ASSERT(told.at(life("t2")).rate.isHeard() && !told.at(life("t2")).rate.limit);
		CPPUNIT_ASSERT(!told.at(life("t3")).rate.isHeard());
		sum.mutable_loads(0)->set_rate_limit(-2);
		CPPUNIT_ASSERT(!loadTableOf(sum.loads(), there).at(life("t1")).rate.isHeard());
	}

	void nothingFallsBelowZero()
	{
		LoadTable sum{{life("t1"), {100, 1}}};
		subtractLoads(sum, LoadTable{{life("t1"), {200, 2}}, {life("t2"), {1, 1}}});
		CPPUNIT_ASSERT_EQUAL(uint64_t(0), sum.at(life("t1")).tokenLayers);
		CPPUNIT_ASSERT_EQUAL(0U, sum.at(life("t1")).requests);
		CPPUNIT_ASSERT_EQUAL(std::size_t(0), sum.count(life("t2")));
	}

	/// Nodes learn of a restart one after the other. What those tell that know the earlier start only says nothing of
	/// the later one: with the earlier one's dead marks it would get no work.
	void startsOfATargetDoNotAddUp()
	{
		board_.takeReport("n2", 1, LoadTable{{life("t1", 100), {100, 1, 2}}}, kNow);
		board_.takeReport("n3", 1, LoadTable{{life("t1", 200), {10, 1}}}, kNow);
		board_.takeSum("far", LoadTable{{life("t1", 100), {1000, 5, 2}}}, kNow);
		board_.addUp(LoadTable{}, kNow);
		const LoadTable& loads = board_.totals()->loads;
		CPPUNIT_ASSERT_EQUAL(uint64_t(10), loadAt(loads, life("t1", 200)).tokenLayers);
		CPPUNIT_ASSERT_EQUAL(0U, loadAt(loads, life("t1", 200)).suspicion);
		CPPUNIT_ASSERT_EQUAL(uint64_t(1100), loadAt(loads, life("t1", 100)).tokenLayers);
		CPPUNIT_ASSERT_EQUAL(uint64_t(1110), loadAt(loads, life("t1")).tokenLayers); // it tells no births here
		CPPUNIT_ASSERT_EQUAL(uint64_t(0), loadAt(loads, life("t", 100)).tokenLayers);
	}

	/// A sum that wraps would make a target that nodes found dead sound, and a loaded one free.
	void sumsStopAtTheirMost()
	{
		LoadTable sum{{life("t1"), {UINT64_MAX, UINT32_MAX, UINT32_MAX, 1}}};
		addLoads(sum, LoadTable{{life("t1"), {2, 2, 2, 1}}});
		CPPUNIT_ASSERT_EQUAL(uint64_t(UINT64_MAX), sum.at(life("t1")).tokenLayers);
		CPPUNIT_ASSERT_EQUAL(uint32_t(UINT32_MAX), sum.at(life("t1")).requests);
		CPPUNIT_ASSERT_EQUAL(uint32_t(UINT32_MAX), sum.at(life("t1")).suspicion);
		TargetLoad load;
		load.suspicion = kSureSuspicion;
		load.suspectedUntil = INT64_MAX;
		load.othersSuspicion = UINT32_MAX;
		CPPUNIT_ASSERT(load.isDead(kNow));
	}

	/// A node that is no hub adds nothing up, and what is told to it under ever new names must not pile up.
	void everNewNodesAreNotKept()
	{
		for (int number = 0; number < 20000; ++number)
		{
			const Time at{kNow.micros + number};
			board_.takeReport("n" + std::to_string(number), 1, LoadTable{{life("t1"), {1, 1}}}, at);
			board_.takeSum("n" + std::to_string(number), LoadTable{{life("t1"), {1, 1}}}, at);
		}
		board_.addUp(LoadTable{}, kNow);
		CPPUNIT_ASSERT(board_.totals()->loads.at(life("t1")).requests <= 4000);
		const Time later = kNow + Duration::fromMillis(5000);
		board_.takeReport("late", 1, LoadTable{{life("t2"), {1, 1}}}, later);
		board_.addUp(LoadTable{}, later);
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), board_.totals()->loads.size());
	}

private:
	static constexpr Time kNow{5000000};
	LoadBoard board_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoadBoardTest);

} // namespace sedgecart

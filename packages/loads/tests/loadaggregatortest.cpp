// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <fleet/fleetview.h>
#include <loads/loadaggregator.h>
#include <loads/loadrows.h>
#include <wire/sedgecart.pb.h>

#include <cppunit/extensions/HelperMacros.h>

namespace sedgecart
{

namespace
{

TargetIncarnation incarnation(const char* _instance, int64_t _born = 0)
{
	return TargetIncarnation{InstanceId{_instance}, StartTime{_born}};
}

} // namespace

class LoadAggregatorTest : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(LoadAggregatorTest);
	CPPUNIT_TEST(loadsOfAllHallsAreSummed);
	CPPUNIT_TEST(silentNodeIsNotCounted);
	CPPUNIT_TEST(anOvertakenReportIsIgnored);
	CPPUNIT_TEST(subtractionStopsAtZero);
	CPPUNIT_TEST(incarnationsAreNotSummed);
	CPPUNIT_TEST(sumsSaturate);
	CPPUNIT_TEST(numberOfSendersIsBounded);
	CPPUNIT_TEST(newestRateLimitCounts);
	CPPUNIT_TEST(rateLimitsAreSentWithTheirAge);
	CPPUNIT_TEST_SUITE_END();

public:
	void loadsOfAllHallsAreSummed()
	{
		board_.onReport("n2", 7, LoadTable{{incarnation("t1"), {100, 1}}}, kNow);
		board_.onSum("far", LoadTable{{incarnation("t1"), {1000, 5}}, {incarnation("t2"), {10, 1}}}, kNow);
		const LoadTable hall = board_.updateTotals(LoadTable{{incarnation("t1"), {50, 2}}}, kNow);
		CPPUNIT_ASSERT_EQUAL(uint64_t(150), hall.at(incarnation("t1")).tokenLayers);
		CPPUNIT_ASSERT_EQUAL(std::size_t(0), hall.count(incarnation("t2")));
		const auto totals = board_.totals();
		CPPUNIT_ASSERT_EQUAL(uint64_t(1150), totals->loads.at(incarnation("t1")).tokenLayers);
		CPPUNIT_ASSERT_EQUAL(8U, totals->loads.at(incarnation("t1")).requests);
		CPPUNIT_ASSERT_EQUAL(uint64_t(7), totals->countedReports.at("n2"));
		CPPUNIT_ASSERT((std::vector<std::string>{"far"}) == board_.hubs(kNow));
	}

	void silentNodeIsNotCounted()
	{
		board_.onReport("n2", 1, LoadTable{{incarnation("t1"), {100, 1}}}, kNow);
		board_.onSum("far", LoadTable{{incarnation("t1"), {1000, 5}}}, kNow);
		const Time later = kNow + Duration::fromMillis(1000);
		board_.updateTotals(LoadTable{}, later);
		CPPUNIT_ASSERT_EQUAL(uint64_t(1000), board_.totals()->loads.at(incarnation("t1")).tokenLayers);
		board_.updateTotals(LoadTable{}, later + Duration::fromMillis(1000));
		CPPUNIT_ASSERT(board_.totals()->loads.empty());
	}

	/// Its smaller loads would let the hub lend used capacity again. A restarted node counts from one.
	void anOvertakenReportIsIgnored()
	{
		const auto loadsAt = [this](Time _now)
		{
			return board_.updateTotals(LoadTable{}, _now).at(incarnation("t1")).tokenLayers;
		};
		board_.onReport("n2", 8, LoadTable{{incarnation("t1"), {500, 1}}}, kNow);
		board_.onReport("n2", 7, LoadTable{{incarnation("t1"), {100, 1}}}, kNow + Duration::fromMillis(50));
		CPPUNIT_ASSERT_EQUAL(uint64_t(500), loadsAt(kNow + Duration::fromMillis(50)));
		board_.onReport("n2", 1, LoadTable{{incarnation("t1"), {200, 1}}}, kNow + Duration::fromMillis(400));
		CPPUNIT_ASSERT_EQUAL(uint64_t(200), loadsAt(kNow + Duration::fromMillis(400)));
	}

	/// A withdrawn limit must not reappear with an older report.
	void newestRateLimitCounts()
	{
		const Time later = kNow + Duration::fromMillis(100);
		const LoadAmount limited{0, 0, 0, 0, AdvertisedRate{RequestRate{2.6}, kNow}};
		const LoadAmount withdrawnLimit{0, 0, 0, 0, AdvertisedRate{std::nullopt, later}};
		board_.onReport("n2", 1, LoadTable{{incarnation("t1"), withdrawnLimit}}, later);
		board_.onSum("far", LoadTable{{incarnation("t1"), limited}}, later);
		board_.updateTotals(LoadTable{{incarnation("t1"), {100, 1}}}, later);
		const AdvertisedRate rate = board_.totals()->loads.at(incarnation("t1")).rate;
		CPPUNIT_ASSERT(!rate.limit);
		CPPUNIT_ASSERT_EQUAL(later.micros, rate.receivedAt.micros);
	}

	void rateLimitsAreSentWithTheirAge()
	{
		const LoadTable table{{incarnation("t1"), {100, 1, 0, 0, AdvertisedRate{RequestRate{2.6}, kNow}}},
		                      {incarnation("t2"), {100, 1, 0, 0, AdvertisedRate{std::nullopt, kNow}}},
		                      {incarnation("t3"), {100, 1}}};
		wire::HallSum sum;
		putLoadRows(table, kNow + Duration::fromMillis(250), *sum.mutable_loads());
		const Time otherNow{5000000}; // the clock of another node
		const LoadTable received = loadTableOf(sum.loads(), otherNow);
		CPPUNIT_ASSERT_EQUAL(2.6, received.at(incarnation("t1")).rate.limit->perSecond);
		CPPUNIT_ASSERT_EQUAL(otherNow.micros - 250000, received.at(incarnation("t1")).rate.receivedAt.micros);
		CPPUNIT_ASSERT(received.at(incarnation("t2")).rate.isKnown() && !received.at(incarnation("t2")).rate.limit);
		CPPUNIT_ASSERT(!received.at(incarnation("t3")).rate.isKnown());
		sum.mutable_loads(0)->set_rate_limit(-2);
		CPPUNIT_ASSERT(!loadTableOf(sum.loads(), otherNow).at(incarnation("t1")).rate.isKnown());
	}

	void subtractionStopsAtZero()
	{
		LoadTable sum{{incarnation("t1"), {100, 1}}};
		subtractLoads(sum, LoadTable{{incarnation("t1"), {200, 2}}, {incarnation("t2"), {1, 1}}});
		CPPUNIT_ASSERT_EQUAL(uint64_t(0), sum.at(incarnation("t1")).tokenLayers);
		CPPUNIT_ASSERT_EQUAL(0U, sum.at(incarnation("t1")).requests);
		CPPUNIT_ASSERT_EQUAL(std::size_t(0), sum.count(incarnation("t2")));
	}

	/// Nodes learn of a restart one after the other. Reports of nodes that know only the earlier incarnation must not
	/// apply to the later one: with the suspicion against the earlier one it would get no work.
	void incarnationsAreNotSummed()
	{
		board_.onReport("n2", 1, LoadTable{{incarnation("t1", 100), {100, 1, 2}}}, kNow);
		board_.onReport("n3", 1, LoadTable{{incarnation("t1", 200), {10, 1}}}, kNow);
		board_.onSum("far", LoadTable{{incarnation("t1", 100), {1000, 5, 2}}}, kNow);
		board_.updateTotals(LoadTable{}, kNow);
		const LoadTable& loads = board_.totals()->loads;
		CPPUNIT_ASSERT_EQUAL(uint64_t(10), loadAt(loads, incarnation("t1", 200)).tokenLayers);
		CPPUNIT_ASSERT_EQUAL(0U, loadAt(loads, incarnation("t1", 200)).suspicion);
		CPPUNIT_ASSERT_EQUAL(uint64_t(1100), loadAt(loads, incarnation("t1", 100)).tokenLayers);
		CPPUNIT_ASSERT_EQUAL(uint64_t(1110), loadAt(loads, incarnation("t1")).tokenLayers); // without a start time
		CPPUNIT_ASSERT_EQUAL(uint64_t(0), loadAt(loads, incarnation("t", 100)).tokenLayers);
	}

	/// A sum that wraps around would make a target that nodes found dead healthy, and a loaded one idle.
	void sumsSaturate()
	{
		LoadTable sum{{incarnation("t1"), {UINT64_MAX, UINT32_MAX, UINT32_MAX, 1}}};
		addLoads(sum, LoadTable{{incarnation("t1"), {2, 2, 2, 1}}});
		CPPUNIT_ASSERT_EQUAL(uint64_t(UINT64_MAX), sum.at(incarnation("t1")).tokenLayers);
		CPPUNIT_ASSERT_EQUAL(uint32_t(UINT32_MAX), sum.at(incarnation("t1")).requests);
		CPPUNIT_ASSERT_EQUAL(uint32_t(UINT32_MAX), sum.at(incarnation("t1")).suspicion);
		TargetLoad load;
		load.suspicion = kSureSuspicion;
		load.suspectedUntil = INT64_MAX;
		load.remoteSuspicion = UINT32_MAX;
		CPPUNIT_ASSERT(load.isDead(kNow));
	}

	/// A node that is not a hub computes no totals, and reports that it receives from ever more nodes must not
	/// accumulate.
	void numberOfSendersIsBounded()
	{
		for (int number = 0; number < 20000; ++number)
		{
			const Time at{kNow.micros + number};
			board_.onReport("n" + std::to_string(number), 1, LoadTable{{incarnation("t1"), {1, 1}}}, at);
			board_.onSum("n" + std::to_string(number), LoadTable{{incarnation("t1"), {1, 1}}}, at);
		}
		board_.updateTotals(LoadTable{}, kNow);
		CPPUNIT_ASSERT(board_.totals()->loads.at(incarnation("t1")).requests <= 4000);
		const Time later = kNow + Duration::fromMillis(5000);
		board_.onReport("late", 1, LoadTable{{incarnation("t2"), {1, 1}}}, later);
		board_.updateTotals(LoadTable{}, later);
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), board_.totals()->loads.size());
	}

private:
	static constexpr Time kNow{5000000};
	LoadAggregator board_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoadAggregatorTest);

} // namespace sedgecart

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <core/reportschedule.h>

#include <cppunit/extensions/HelperMacros.h>

#include <random>

namespace sedgecart
{

namespace
{

constexpr int64_t kSeconds = 20;

/// @returns the reports per second that the hub of a hall receives.
/// @param _changes changes of each node's loads per second.
double reportsPerSecond(std::size_t _nodes, double _changes)
{
	std::minstd_rand random(7);
	std::uniform_real_distribution<double> draw(0, 1);
	const double stepSeconds = static_cast<double>(ReportSchedule::kStep.millis()) / 1000;
	uint64_t reports = 0;
	for (std::size_t node = 0; node < _nodes; ++node)
	{
		ReportSchedule schedule;
		schedule.setHallSize(_nodes);
		Time now{1000000 + static_cast<int64_t>(draw(random) * static_cast<double>(ReportSchedule::kStep.micros))};
		for (const Time end = now + Duration::fromMillis(kSeconds * 1000); now < end; now = now + ReportSchedule::kStep)
		{
			if (schedule.isDue(draw(random) < _changes * stepSeconds, now))
			{
				schedule.onReport(now);
				++reports;
			}
		}
	}
	return static_cast<double>(reports) / static_cast<double>(kSeconds);
}

} // namespace

/// The hub of a hall of 200 nodes received 1,330 reports per second, most of them without news.
class ReportScheduleTest : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(ReportScheduleTest);
	CPPUNIT_TEST(smallHallsReportWithEachStep);
	CPPUNIT_TEST(changesAreReportedAtOnce);
	CPPUNIT_TEST(idleNodesOfLargeHallsReportRarely);
	CPPUNIT_TEST(rateOfTheHubGrowsWithItsLoad);
	CPPUNIT_TEST_SUITE_END();

public:
	void smallHallsReportWithEachStep()
	{
		ReportSchedule schedule;
		schedule.setHallSize(ReportSchedule::kFullRateNodes);
		schedule.onReport(Time{1000000});
		CPPUNIT_ASSERT(schedule.isDue(false, Time{1000001}));
	}

	void changesAreReportedAtOnce()
	{
		ReportSchedule schedule;
		schedule.setHallSize(1000);
		schedule.onReport(Time{1000000});
		CPPUNIT_ASSERT(schedule.isDue(true, Time{1000001}));
		CPPUNIT_ASSERT(!schedule.isDue(false, Time{1000001}));
	}

	/// However large the hall is, a change of the store must be known within two seconds.
	void idleNodesOfLargeHallsReportRarely()
	{
		ReportSchedule schedule;
		schedule.setHallSize(120);
		CPPUNIT_ASSERT_EQUAL(int64_t(300), schedule.pause().millis());
		schedule.setHallSize(100000);
		CPPUNIT_ASSERT_EQUAL(ReportSchedule::kMaxPause.micros, schedule.pause().micros);
		schedule.onReport(Time{1000000});
		CPPUNIT_ASSERT(schedule.isDue(false, Time{1000000} + ReportSchedule::kMaxPause));
	}

	void rateOfTheHubGrowsWithItsLoad()
	{
		CPPUNIT_ASSERT(reportsPerSecond(200, 0) < 1.1 * reportsPerSecond(60, 0));
		CPPUNIT_ASSERT(reportsPerSecond(200, 1) < reportsPerSecond(200, 0) + 1.1 * 200);
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReportScheduleTest);

} // namespace sedgecart

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "../src/relaylog_p.h"
#include "../src/relayplan_p.h"
#include "../src/urgencycount_p.h"

#include <metrics/metrics.h>

#include <cppunit/extensions/HelperMacros.h>

namespace sedgecart
{

class UrgencyCountTest : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(UrgencyCountTest);
	CPPUNIT_TEST(onlyPrioritizedServicesAreCounted);
	CPPUNIT_TEST_SUITE_END();

public:
	void onlyPrioritizedServicesAreCounted()
	{
		answer(2, 9000, 9000);
		countRefusal(metrics_, plan_);
		CPPUNIT_ASSERT(std::string::npos == metrics_.text().find("urgency"));
		plan_.isPrioritized = true;
		answer(2, 9000, 9000); // a route without objectives
		plan_.objective = Duration::fromMillis(500);
		plan_.pauseObjective = Duration::fromMillis(250);
		answer(2, 500, 250);
		answer(2, 501, 250);
		answer(2, 500, 251);
		answer(2, 501, 251); // late once, though it missed both
		countRefusal(metrics_, plan_);
		answer(1000000, 80, 0); // the desired state allows it, the table ends at 9
		CPPUNIT_ASSERT(std::string::npos != metrics_.text().find("sedgecart_urgency_answers_total{urgency=\"2\"} 5\n"
		                                                         "sedgecart_urgency_answers_total{urgency=\"9\"} 1\n"
		                                                         "sedgecart_urgency_late_total{urgency=\"2\"} 3\n"
		                                                         "sedgecart_urgency_refused_total{urgency=\"2\"} 1\n"));
	}

private:
	void answer(uint32_t _urgency, int64_t _firstMillis, int64_t _pauseMillis)
	{
		plan_.urgency = _urgency;
		AnswerTimes times;
		times.firstAt = plan_.arrivedAt + Duration::fromMillis(_firstMillis);
		times.longestPause = Duration::fromMillis(_pauseMillis);
		countAnswer(metrics_, plan_, times);
	}

	RelayPlan plan_;
	Metrics metrics_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(UrgencyCountTest);

} // namespace sedgecart

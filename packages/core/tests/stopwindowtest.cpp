// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <core/stopwindow.h>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace sedgecart
{

class StopWindowTest : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(StopWindowTest);
	CPPUNIT_TEST(estimatesCountWhileCallersMayArrive);
	CPPUNIT_TEST(noEstimateAdmitsALateRequest);
	CPPUNIT_TEST(requestsThatTheirTimeLimitEndsAreAdmitted);
	CPPUNIT_TEST(callersArriveUntilTheBalancerReacts);
	CPPUNIT_TEST(aShortStopLeavesTimeForFinalAnswers);
	CPPUNIT_TEST(finalAnswersHaveTimeToReachTheirCallers);
	CPPUNIT_TEST(everyLateRequestHasAnAnswerInTheWindow);
	CPPUNIT_TEST_SUITE_END();

public:
	/// 350 ms are reserved for the process to exit.
	void estimatesCountWhileCallersMayArrive()
	{
		const StopWindow window(at(1000), millis(8000));
		CPPUNIT_ASSERT_EQUAL(int64_t(8650), window.deadline().micros / 1000);
		CPPUNIT_ASSERT_EQUAL(StopAdmission::ByEstimate, window.decide(std::nullopt, millis(7649), at(1000)));
		CPPUNIT_ASSERT_EQUAL(StopAdmission::TooLong, window.decide(std::nullopt, millis(7650), at(1000)));
		CPPUNIT_ASSERT_EQUAL(StopAdmission::TooLong, window.decide(std::nullopt, millis(7649), at(1001)));
	}

	void noEstimateAdmitsALateRequest()
	{
		const StopWindow window(at(1000), millis(8000));
		CPPUNIT_ASSERT_EQUAL(StopAdmission::ByEstimate, window.decide(std::nullopt, millis(1), at(3799)));
		CPPUNIT_ASSERT_EQUAL(StopAdmission::Unbounded, window.decide(std::nullopt, millis(1), at(3800)));
		CPPUNIT_ASSERT_EQUAL(StopAdmission::Unbounded, window.decide(std::nullopt, Duration{}, at(9000)));
	}

	void requestsThatTheirTimeLimitEndsAreAdmitted()
	{
		const StopWindow window(at(1000), millis(8000));
		CPPUNIT_ASSERT_EQUAL(StopAdmission::ByTimeLimit, window.decide(millis(4149), millis(9000), at(4000)));
		CPPUNIT_ASSERT_EQUAL(StopAdmission::Unbounded, window.decide(millis(4150), millis(1), at(4000)));
		CPPUNIT_ASSERT_EQUAL(StopAdmission::ByTimeLimit, window.decide(millis(3000), millis(9000), at(1000)));
	}

	void callersArriveUntilTheBalancerReacts()
	{
		const StopWindow window(at(1000), millis(8000));
		CPPUNIT_ASSERT(window.callersMayArrive(at(3799)));
		CPPUNIT_ASSERT(!window.callersMayArrive(at(3800)));
	}

	/// A stop that is shorter than the balancer's reaction still leaves time for final answers.
	void aShortStopLeavesTimeForFinalAnswers()
	{
		const StopWindow window(at(1000), millis(2000));
		CPPUNIT_ASSERT(window.callersMayArrive(at(2149)));
		CPPUNIT_ASSERT(!window.callersMayArrive(at(2150)));
		CPPUNIT_ASSERT(window.finalAnswersAt() < window.deadline());
	}

	void finalAnswersHaveTimeToReachTheirCallers()
	{
		const StopWindow window(at(1000), millis(8000));
		CPPUNIT_ASSERT_EQUAL(int64_t(500), (window.deadline() - window.finalAnswersAt()).millis());
	}

	/// Streams and calls are cut if an estimate admits them after the balancer has removed the node.
	void everyLateRequestHasAnAnswerInTheWindow()
	{
		CPPUNIT_ASSERT(rc::check("late requests have an answer in the window",
		                         []
		                         {
			                         const StopWindow window(at(0), millis(*rc::gen::inRange<int64_t>(1000, 30000)));
			                         const Time now = at(*rc::gen::inRange<int64_t>(0, 30000));
			                         const Duration spent = millis(*rc::gen::inRange<int64_t>(1, 60000));
			                         const std::optional<Duration> limit =
			                             *rc::gen::inRange(0, 2) == 0 ? std::nullopt : std::optional<Duration>(spent);
			                         const Duration estimate = millis(*rc::gen::inRange<int64_t>(0, 60000));
			                         RC_PRE(!window.callersMayArrive(now));
			                         const bool isInTime = limit && now + *limit < window.finalAnswersAt();
			                         RC_ASSERT(isInTime == isAdmitted(window.decide(limit, estimate, now)));
		                         }));
	}

private:
	static Time at(int64_t _millis)
	{
		return Time{_millis * 1000};
	}

	static Duration millis(int64_t _millis)
	{
		return Duration::fromMillis(_millis);
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(StopWindowTest);

} // namespace sedgecart

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <core/pollplan.h>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>

namespace sedgecart
{

namespace
{

constexpr Duration kRound = Duration::fromMillis(1400);
constexpr std::size_t kSteps = 14;
constexpr Duration kStep = Duration::fromMillis(100);
constexpr Time kStart{1000000};

std::vector<PollTarget> targetsOf(std::size_t _busy, std::size_t _idle)
{
	std::vector<PollTarget> targets;
	for (std::size_t index = 0; index < _busy + _idle; ++index)
	{
		targets.push_back(PollTarget{"t" + std::to_string(index), index < _busy});
	}
	return targets;
}

/// @returns the questions of some rounds, the first of which, when all are new, is left out.
std::size_t questions(PollPlan& _plan, const std::vector<PollTarget>& _targets, std::size_t _rounds)
{
	std::size_t asked = 0;
	for (std::size_t step = 0; step < (_rounds + 1) * kSteps; ++step)
	{
		const Time now = kStart + Duration{kStep.micros * static_cast<int64_t>(step)};
		const std::size_t names = _plan.takeDue(_targets, now).size();
		asked += kSteps <= step ? names : 0;
	}
	return asked;
}

} // namespace

class PollPlanTest : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(PollPlanTest);
	CPPUNIT_TEST(aRoundAsksEachTargetOnce);
	CPPUNIT_TEST(targetsWithoutWorkAreAskedSeldom);
	CPPUNIT_TEST(whoGetsWorkIsAskedAtOnce);
	CPPUNIT_TEST(switchedOffAllAreAskedAlike);
	CPPUNIT_TEST(nobodyWaitsMuchLongerThanARound);
	CPPUNIT_TEST_SUITE_END();

public:
	/// Each step asked a fourteenth, rounded up: 8 targets got 14 questions a round.
	void aRoundAsksEachTargetOnce()
	{
		for (const std::size_t count : {1UL, 8UL, 14UL, 15UL, 46UL, 100UL})
		{
			PollPlan plan(kRound, kSteps);
			CPPUNIT_ASSERT_LESSEQUAL(10 * count, questions(plan, targetsOf(count, 0), 10));
		}
	}

	void targetsWithoutWorkAreAskedSeldom()
	{
		PollPlan plan(kRound, kSteps);
		CPPUNIT_ASSERT_LESSEQUAL(std::size_t(8 * 10 + 2 * 40), questions(plan, targetsOf(10, 40), 8));
	}

	void whoGetsWorkIsAskedAtOnce()
	{
		PollPlan plan(kRound, kSteps);
		std::vector<PollTarget> targets = targetsOf(0, 8);
		questions(plan, targets, 2);
		const Time now = kStart + Duration{kRound.micros * 4};
		targets[5].matters = true;
		CPPUNIT_ASSERT_EQUAL(std::string("t5"), plan.takeDue(targets, now).at(0));
	}

	void switchedOffAllAreAskedAlike()
	{
		PollPlan plan(kRound, kSteps);
		plan.askIdleSeldom(false);
		CPPUNIT_ASSERT_EQUAL(std::size_t(8 * 50), questions(plan, targetsOf(10, 40), 8));
	}

	void nobodyWaitsMuchLongerThanARound()
	{
		const bool holds = rc::check(
		    []
		    {
			    const std::vector<PollTarget> targets =
			        targetsOf(*rc::gen::inRange<std::size_t>(1, 120), *rc::gen::inRange<std::size_t>(0, 120));
			    PollPlan plan(kRound, kSteps);
			    std::map<std::string, Time> asked;
			    for (std::size_t step = 0; step < 10 * kSteps; ++step)
			    {
				    const Time now = kStart + Duration{kStep.micros * static_cast<int64_t>(step)};
				    for (const std::string& name : plan.takeDue(targets, now))
				    {
					    asked[name] = now;
				    }
				    for (const PollTarget& target : targets)
				    {
					    const bool isLate =
					        target.matters && kSteps <= step && !(now < asked[target.name] + kRound + kRound);
					    RC_ASSERT(!isLate);
				    }
			    }
		    });
		CPPUNIT_ASSERT(holds);
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(PollPlanTest);

} // namespace sedgecart

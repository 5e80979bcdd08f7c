// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <core/hubchoice.h>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace sedgecart
{

namespace
{

constexpr Time kStart{1000000};

Time after(int64_t _millis)
{
	return kStart + Duration::fromMillis(_millis);
}

} // namespace

class HubChoiceTest : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(HubChoiceTest);
	CPPUNIT_TEST(aloneItReadsItself);
	CPPUNIT_TEST(theStrongestGoesFirst);
	CPPUNIT_TEST(aSilentNodeIsPassedOver);
	CPPUNIT_TEST(aNodeThatTheStoreTurnsAwayIsPassedOver);
	CPPUNIT_TEST(aStoreThatIsOutIsTriedByTheFirstOnes);
	CPPUNIT_TEST(fewAreAskedBeforeOneReadsItself);
	CPPUNIT_TEST(somebodyIsAlwaysChosen);
	CPPUNIT_TEST_SUITE_END();

public:
	void aloneItReadsItself()
	{
		const HubChoice choice("b");
		CPPUNIT_ASSERT_EQUAL(std::string("b"), choice.choose(kStart).name);
		CPPUNIT_ASSERT(choice.choose(kStart).reads);
	}

	void theStrongestGoesFirst()
	{
		HubChoice choice("b");
		choice.setCandidates({{"a", 0.12}, {"b", 0.12}, {"c", 0.5}, {"d", 0.5}});
		CPPUNIT_ASSERT_EQUAL(std::string("c"), choice.choose(kStart).name);
	}

	void aSilentNodeIsPassedOver()
	{
		HubChoice choice("b");
		choice.setCandidates({{"a", 0.25}, {"b", 0.25}});
		choice.onSilent("a", kStart);
		CPPUNIT_ASSERT_EQUAL(std::string("b"), choice.choose(after(100)).name);
		CPPUNIT_ASSERT_EQUAL(std::string("a"), choice.choose(after(500)).name);
		choice.onSilent("a", after(1000)); // twice in a row: for longer
		CPPUNIT_ASSERT_EQUAL(std::string("b"), choice.choose(after(1700)).name);
		choice.onAnswer("a", true, after(1700));
		CPPUNIT_ASSERT_EQUAL(std::string("a"), choice.choose(after(1700)).name);
	}

	void aNodeThatTheStoreTurnsAwayIsPassedOver()
	{
		HubChoice choice("c");
		choice.setCandidates({{"a", 0.25}, {"b", 0.25}, {"c", 0.25}});
		choice.onAnswer("a", false, kStart);
		CPPUNIT_ASSERT_EQUAL(std::string("b"), choice.choose(after(10)).name);
		choice.onAnswer("b", false, after(20));
		CPPUNIT_ASSERT_EQUAL(std::string("c"), choice.choose(after(30)).name);
		choice.onStore(false, after(40));
		CPPUNIT_ASSERT_EQUAL(std::string("a"), choice.choose(after(50)).name); // nobody reads: the first that answers
		CPPUNIT_ASSERT(!choice.choose(after(50)).reads);
	}

	void aStoreThatIsOutIsTriedByTheFirstOnes()
	{
		HubChoice first("a");
		HubChoice third("c");
		for (HubChoice* choice : {&first, &third})
		{
			choice->setCandidates({{"a", 0.25}, {"b", 0.25}, {"c", 0.25}});
			choice->onAnswer("a", false, kStart);
			choice->onAnswer("b", false, kStart);
			choice->onStore(false, kStart);
		}
		CPPUNIT_ASSERT(first.choose(after(350)).reads); // its turn to try again
		CPPUNIT_ASSERT(!first.storeAnswers());
		CPPUNIT_ASSERT(!third.choose(after(350)).reads);
		CPPUNIT_ASSERT(third.choose(after(2050)).reads);
	}

	/// A node that cannot reach the hub must not ask each of twenty others, none of which reads.
	void fewAreAskedBeforeOneReadsItself()
	{
		HubChoice choice("n9");
		std::vector<HubCandidate> all;
		for (const char* const name : {"n1", "n2", "n3", "n4", "n5", "n6", "n7", "n8", "n9"})
		{
			all.push_back(HubCandidate{name, 0.25});
		}
		choice.setCandidates(all);
		uint32_t asked = 0;
		while ("n9" != choice.choose(kStart).name)
		{
			choice.onAnswer(choice.choose(kStart).name, false, kStart);
			++asked;
		}
		CPPUNIT_ASSERT_EQUAL(3U, asked);
	}

	void somebodyIsAlwaysChosen()
	{
		CPPUNIT_ASSERT(
		    rc::check("a hub is always named while this node lives",
		              []
		              {
			              HubChoice choice("b");
			              choice.setCandidates({{"a", 1}, {"b", 1}, {"c", 1}});
			              Time now = kStart;
			              for (int step = 0; step < 40; ++step)
			              {
				              now = now + Duration::fromMillis(*rc::gen::inRange(0, 900));
				              const std::string other = *rc::gen::elementOf(std::vector<std::string>{"a", "c"});
				              switch (*rc::gen::inRange(0, 4))
				              {
				              case 0:
					              choice.onSilent(other, now);
					              break;
				              case 1:
					              choice.onAnswer(other, *rc::gen::arbitrary<bool>(), now);
					              break;
				              default:
					              choice.onStore(*rc::gen::arbitrary<bool>(), now);
					              break;
				              }
				              RC_ASSERT(!choice.choose(now).name.empty());
			              }
		              }));
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(HubChoiceTest);

} // namespace sedgecart

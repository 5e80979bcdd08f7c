// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <core/hubselector.h>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>

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

class HubSelectorTest : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(HubSelectorTest);
	CPPUNIT_TEST(singleNodeReadsTheStoreItself);
	CPPUNIT_TEST(startingNodeKnowsItsOwnShare);
	CPPUNIT_TEST(nodeWithTheLargestCpuShareIsPreferred);
	CPPUNIT_TEST(unresponsiveNodeIsAvoided);
	CPPUNIT_TEST(nodesThatLeftAreNotProbed);
	CPPUNIT_TEST(nodeThatCannotReadTheStoreIsAvoided);
	CPPUNIT_TEST(firstNodesProbeAnUnavailableStore);
	CPPUNIT_TEST(fewNodesAreQueriedBeforeReadingDirectly);
	CPPUNIT_TEST(nodesStayWithAHubThatReportsAnOutage);
	CPPUNIT_TEST(oneOutdatedNodeIsAvoidedTwoAreAnOutage);
	CPPUNIT_TEST(hubReadsThroughAnAnnouncedReader);
	CPPUNIT_TEST(hubKeepsItsReaderDespiteOtherAnnouncements);
	CPPUNIT_TEST(nodeInUseAsHubKeepsReadingDirectly);
	CPPUNIT_TEST(nodesProbeInTurn);
	CPPUNIT_TEST(smallHallIsSearchedWithinTwoSeconds);
	CPPUNIT_TEST(withoutSharedProbesEachNodeReadsDirectly);
	CPPUNIT_TEST(aHubIsAlwaysChosen);
	CPPUNIT_TEST_SUITE_END();

public:
	void singleNodeReadsTheStoreItself()
	{
		const HubSelector selector("b");
		CPPUNIT_ASSERT_EQUAL(std::string("b"), selector.choose(kStart).name);
		CPPUNIT_ASSERT(selector.choose(kStart).readsStore);
	}

	/// A starting node whose own record is not known yet took any other one for stronger. The strongest nodes of a
	/// hall that started chose each other in turn, and none of them read the store.
	void startingNodeKnowsItsOwnShare()
	{
		HubSelector selector("a", 1);
		selector.setCandidates({{"b", 1}, {"c", 0.12}});
		CPPUNIT_ASSERT_EQUAL(std::string("a"), selector.choose(kStart).name);
		HubSelector weak("d", 0.12);
		weak.setCandidates({{"b", 1}, {"c", 0.12}});
		CPPUNIT_ASSERT_EQUAL(std::string("b"), weak.choose(kStart).name);
	}

	void nodeWithTheLargestCpuShareIsPreferred()
	{
		HubSelector selector("b");
		selector.setCandidates({{"a", 0.12}, {"b", 0.12}, {"c", 0.5}, {"d", 0.5}});
		CPPUNIT_ASSERT_EQUAL(std::string("c"), selector.choose(kStart).name);
	}

	void unresponsiveNodeIsAvoided()
	{
		HubSelector selector("b");
		selector.setCandidates({{"a", 0.25}, {"b", 0.25}});
		selector.onNoAnswer("a", kStart);
		CPPUNIT_ASSERT_EQUAL(std::string("b"), selector.choose(after(100)).name);
		CPPUNIT_ASSERT(selector.takeDueProbes(after(100)).empty());
		CPPUNIT_ASSERT_EQUAL(std::string("b"), selector.choose(after(500)).name);
		CPPUNIT_ASSERT_EQUAL(std::size_t{1}, selector.takeDueProbes(after(500)).size());
		CPPUNIT_ASSERT(selector.takeDueProbes(after(1200)).empty()); // no answer: probed after a longer time
		CPPUNIT_ASSERT_EQUAL(std::string("b"), selector.choose(after(10000)).name);
		CPPUNIT_ASSERT_EQUAL(std::size_t{1}, selector.takeDueProbes(after(10000)).size());
		selector.onProbeAnswered("a");
		CPPUNIT_ASSERT_EQUAL(std::string("a"), selector.choose(after(10010)).name);
		CPPUNIT_ASSERT(selector.takeDueProbes(after(60000)).empty());
	}

	/// A node that has left the hall is not probed for ever.
	void nodesThatLeftAreNotProbed()
	{
		HubSelector selector("b");
		selector.setCandidates({{"a", 0.25}, {"b", 0.25}});
		selector.onNoAnswer("a", kStart);
		selector.setCandidates({{"b", 0.25}});
		CPPUNIT_ASSERT(selector.takeDueProbes(after(10000)).empty());
		CPPUNIT_ASSERT(selector.probedNodes().empty());
	}

	void nodeThatCannotReadTheStoreIsAvoided()
	{
		HubSelector selector("c");
		selector.setCandidates({{"a", 0.25}, {"b", 0.25}, {"c", 0.25}});
		selector.onAnswer("a", false, kStart);
		CPPUNIT_ASSERT_EQUAL(std::string("b"), selector.choose(after(10)).name);
		selector.onAnswer("b", false, after(20));
		CPPUNIT_ASSERT_EQUAL(std::string("c"), selector.choose(after(30)).name);
		selector.onStoreResult(false, after(40));
		CPPUNIT_ASSERT_EQUAL(std::string("a"),
		                     selector.choose(after(50)).name); // no node reads: the first that answers
		CPPUNIT_ASSERT(!selector.choose(after(50)).readsStore);
	}

	void firstNodesProbeAnUnavailableStore()
	{
		HubSelector first("a");
		HubSelector third("c");
		for (HubSelector* selector : {&first, &third})
		{
			selector->setCandidates({{"a", 0.25}, {"b", 0.25}, {"c", 0.25}});
			selector->onAnswer("a", false, kStart);
			selector->onAnswer("b", false, kStart);
			selector->onStoreResult(false, kStart);
		}
		CPPUNIT_ASSERT(first.choose(after(350)).readsStore); // due to probe again
		CPPUNIT_ASSERT(!first.storeAnswers());
		CPPUNIT_ASSERT(!third.choose(after(350)).readsStore);
		CPPUNIT_ASSERT(third.choose(after(2050)).readsStore);
	}

	/// A node that cannot reach the hub must not query each of twenty others, none of which can read the store.
	void fewNodesAreQueriedBeforeReadingDirectly()
	{
		HubSelector selector("n9");
		std::vector<HubCandidate> all;
		for (const char* const name : {"n1", "n2", "n3", "n4", "n5", "n6", "n7", "n8", "n9"})
		{
			all.push_back(HubCandidate{name, 0.25});
		}
		selector.setCandidates(all);
		uint32_t asked = 0;
		while ("n9" != selector.choose(kStart).name)
		{
			selector.onAnswer(selector.choose(kStart).name, false, kStart);
			++asked;
		}
		CPPUNIT_ASSERT_EQUAL(3U, asked);
	}

	void nodesStayWithAHubThatReportsAnOutage()
	{
		HubSelector selector = largeHall("n30");
		selector.onStoreUnavailable("n10", kStart);
		const Hub hub = selector.choose(after(10));
		CPPUNIT_ASSERT_EQUAL(std::string("n10"), hub.name);
		CPPUNIT_ASSERT(!hub.readsStore);
		selector.onAnswer("n10", true, after(150));
		CPPUNIT_ASSERT(selector.choose(after(150)).readsStore);
	}

	/// The hub's path to the store may hang while the next node can read it. If that node's data is outdated too, no
	/// third node is queried.
	void oneOutdatedNodeIsAvoidedTwoAreAnOutage()
	{
		HubSelector selector = largeHall("n30");
		selector.onOutdated("n10", kStart);
		CPPUNIT_ASSERT_EQUAL(std::string("n11"), selector.choose(after(10)).name);
		selector.onOutdated("n11", after(20));
		CPPUNIT_ASSERT_EQUAL(std::string("n10"), selector.choose(after(30)).name);
		CPPUNIT_ASSERT(!selector.choose(after(30)).readsStore);
	}

	void hubReadsThroughAnAnnouncedReader()
	{
		HubSelector selector = largeHall("n10");
		selector.onReaderAnnounced("n30", kStart);
		CPPUNIT_ASSERT_EQUAL(std::string("n10"), selector.choose(kStart).name); // it can read the store itself
		selector.onStoreResult(false, kStart);
		CPPUNIT_ASSERT_EQUAL(std::string("n30"), selector.choose(after(10)).name);
		CPPUNIT_ASSERT(selector.choose(after(10)).announced);
		selector.onAnswer("n30", false, after(100)); // it cannot read the store any more
		CPPUNIT_ASSERT_EQUAL(std::string("n10"), selector.choose(after(110)).name);
	}

	/// Each change of the reader loses the answers in flight: a hub that the store refused changed its reader up to
	/// eight times a second, and its hall got no updates for eight seconds.
	void hubKeepsItsReaderDespiteOtherAnnouncements()
	{
		HubSelector selector = largeHall("n10");
		selector.onStoreResult(false, kStart);
		for (int64_t ms = 0; ms < 3000; ms += 150)
		{
			selector.onReaderAnnounced("n30", after(ms));
			CPPUNIT_ASSERT_EQUAL(std::string("n30"), selector.choose(after(ms + 1)).name);
			selector.onReaderAnnounced("n31", after(ms + 75));
			CPPUNIT_ASSERT_EQUAL(std::string("n30"), selector.choose(after(ms + 76)).name);
		}
		selector.onNoAnswer("n30", after(3000));
		selector.onReaderAnnounced("n31", after(3010));
		CPPUNIT_ASSERT_EQUAL(std::string("n31"), selector.choose(after(3020)).name);
	}

	/// A node that the hub reads through must not query the hub, which would lead back to itself.
	void nodeInUseAsHubKeepsReadingDirectly()
	{
		HubSelector selector = largeHall("n30");
		selector.onStoreUnavailable("n10", kStart);
		selector.onStoreResult(true, after(100));
		CPPUNIT_ASSERT_EQUAL(std::string("n30"), selector.choose(after(110)).name);
		for (int64_t millis = 200; millis < 3000; millis += 150)
		{
			selector.onUsedAsHub("n10", after(millis));
		}
		CPPUNIT_ASSERT_EQUAL(std::string("n30"), selector.choose(after(3000)).name);
		CPPUNIT_ASSERT_EQUAL(std::string("n10"), selector.choose(after(4000)).name); // the hub reads directly again
	}

	/// Four nodes probe per second, whatever the size of the hall; the first two immediately.
	void nodesProbeInTurn()
	{
		std::size_t due = 0;
		for (const HubCandidate& node : hallNodes())
		{
			HubSelector selector = largeHall(node.name);
			selector.onStoreUnavailable("n10" == node.name ? "n11" : "n10", kStart);
			due += selector.choose(after(999)).probesStore ? 1 : 0;
		}
		CPPUNIT_ASSERT(4 <= due);
		CPPUNIT_ASSERT(due <= 6);
	}

	/// The store served one node of fifteen, which probed it only after 3.5 s.
	void smallHallIsSearchedWithinTwoSeconds()
	{
		std::vector<HubCandidate> nodes = hallNodes();
		nodes.resize(std::min<std::size_t>(15, nodes.size()));
		for (const HubCandidate& node : nodes)
		{
			HubSelector selector(node.name);
			selector.setCandidates(nodes);
			const std::string& hub = nodes.front().name == node.name ? nodes.back().name : nodes.front().name;
			for (int64_t millis = 0; millis < 1700; millis += 150)
			{
				selector.onStoreUnavailable(hub, after(millis));
			}
			CPPUNIT_ASSERT(selector.choose(after(1700)).probesStore);
		}
	}

	void withoutSharedProbesEachNodeReadsDirectly()
	{
		HubSelector selector = largeHall("n30");
		selector.shareProbes(false);
		for (const char* const hub : {"n10", "n11", "n12"})
		{
			selector.onOutdated(hub, kStart);
		}
		CPPUNIT_ASSERT_EQUAL(std::string("n30"), selector.choose(after(10)).name);
	}

	void aHubIsAlwaysChosen()
	{
		CPPUNIT_ASSERT(
		    rc::check("a hub is always named, whatever the events",
		              []
		              {
			              HubSelector selector("b");
			              selector.setCandidates({{"a", 1}, {"b", 1}, {"c", 1}});
			              Time now = kStart;
			              for (int step = 0; step < 40; ++step)
			              {
				              now = now + Duration::fromMillis(*rc::gen::inRange(0, 900));
				              const std::string other = *rc::gen::elementOf(std::vector<std::string>{"a", "c"});
				              switch (*rc::gen::inRange(0, 8))
				              {
				              case 0:
					              selector.onNoAnswer(other, now);
					              break;
				              case 1:
					              selector.onAnswer(other, *rc::gen::arbitrary<bool>(), now);
					              break;
				              case 2:
					              selector.onOutdated(other, now);
					              break;
				              case 3:
					              selector.onStoreUnavailable(other, now);
					              break;
				              case 4:
					              selector.onReaderAnnounced(other, now);
					              break;
				              case 5:
					              selector.onUsedAsHub(other, now);
					              break;
				              default:
					              selector.onStoreResult(*rc::gen::arbitrary<bool>(), now);
					              break;
				              }
				              RC_ASSERT(!selector.choose(now).name.empty());
			              }
		              }));
	}

private:
	static std::vector<HubCandidate> hallNodes()
	{
		std::vector<HubCandidate> nodes;
		for (int number = 10; number < 69; ++number)
		{
			nodes.push_back(HubCandidate{"n" + std::to_string(number), 0.25});
		}
		return nodes;
	}

	/// @returns the selector of one of 59 nodes, n10 to n68.
	static HubSelector largeHall(const std::string& _self)
	{
		HubSelector selector(_self);
		selector.setCandidates(hallNodes());
		return selector;
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(HubSelectorTest);

} // namespace sedgecart

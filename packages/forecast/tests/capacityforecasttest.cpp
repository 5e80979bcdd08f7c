// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <base/seededrandom.h>
#include <demand/waitingtokens.h>
#include <forecast/capacityforecast.h>
#include <forecast/releasetimeline.h>
#include <forecast/returnplanner.h>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <set>
#include <string>

namespace sedgecart
{

namespace
{

constexpr uint64_t kTokens = 1000; //!< Of each request.
constexpr int kNodes = 20;
constexpr int64_t kTickMillis = 10;

Time at(int64_t _millis)
{
	return Time{_millis * 1000};
}

std::string nodeName(int _index)
{
	return "n" + std::to_string(_index);
}

/// A node as far as its hub sees it.
struct Node
{
	ReleaseTimeline releases;
	WaitingTokens waiting;
	ReturnPlanner returns{releases, waiting};
};

/// A hall of nodes that report to a hub. All capacity is in use at first; callers that return take what is free.
class Hall
{
public:
	/// Adds 240 streams that end from 1 s to 4 s, estimated with an error of up to 300 ms.
	Hall()
	{
		constexpr int kStreams = 240;
		constexpr uint32_t kMaxError = 300;
		for (int stream = 0; stream < kStreams; ++stream)
		{
			const int64_t end = 1000 + stream * 3000 / kStreams;
			ends_.insert(end / kTickMillis);
			const int64_t error = static_cast<int64_t>(random_.below(2 * kMaxError)) - kMaxError;
			nodes_[stream % kNodes].releases.add(kTokens, at(end + error));
		}
	}

	void runUntil(int64_t _millis)
	{
		for (; now * kTickMillis < _millis; ++now)
		{
			const uint64_t released = kTokens * ends_.count(now);
			const uint64_t wanted = callersReturn ? kTokens * callers_.count(now) : 0;
			ended += released;
			returned += wanted;
			refusedAgain += free + released < wanted ? (wanted - free - released) / kTokens : 0;
			free = free + released - std::min(wanted, free + released);
			for (int index = 0; hasHub && index < kNodes; ++index)
			{
				exchange(index);
			}
		}
	}

	/// Refuses callers at all nodes in turn.
	/// @returns the last Retry-After, ms.
	int64_t refuse(int _callers)
	{
		constexpr uint32_t kUrgency = 2;
		int64_t in = 0;
		for (int caller = 0; caller < _callers; ++caller)
		{
			in = nodes_[caller % kNodes].returns.planReturn(kTokens, kUrgency, time(), random_)->millis();
			CPPUNIT_ASSERT(100 <= in && in < 7500);
			callers_.insert(now + in / kTickMillis);
		}
		return in;
	}

	int64_t now = 0; //!< Ticks.
	bool hasHub = true;
	bool callersReturn = true;
	uint64_t free = 0;     //!< Tokens.
	uint64_t ended = 0;    //!< Tokens of streams that ended.
	uint64_t returned = 0; //!< Tokens of callers that returned.
	uint64_t refusedAgain = 0;

private:
	Time time() const
	{
		return at(now * kTickMillis);
	}

	void exchange(int _index)
	{
		constexpr int64_t kTicksPerReport = 15;
		if (0 != (now + _index) % kTicksPerReport)
		{
			return;
		}
		Node& node = nodes_[_index];
		ServiceDemand demand;
		demand.recent[0] = kTokens;
		demand.released = node.releases.released(time());
		demand.promised = node.returns.promised(time());
		CPPUNIT_ASSERT(hub_.onReport(nodeName(_index), demand, time()));
		node.returns.setForecast(hub_.forecast(nodeName(_index), free, time()), time());
	}

	SeededRandom random_{1};
	CapacityForecast hub_;
	std::array<Node, kNodes> nodes_;
	std::multiset<int64_t> ends_;    //!< When streams end, ticks.
	std::multiset<int64_t> callers_; //!< When refused callers return, ticks.
};

} // namespace

class CapacityForecastTest : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(CapacityForecastTest);
	CPPUNIT_TEST(returnsOfManyNodesFitTheRoom);
	CPPUNIT_TEST(promisesToCallersThatNeverReturnExpire);
	CPPUNIT_TEST(withoutHubNodesPromiseTheirOwnReleases);
	CPPUNIT_TEST(lateReportsAreAged);
	CPPUNIT_TEST(partsNeverExceedTheCapacity);
	CPPUNIT_TEST(ownPromisesAndWaitingRequestsAreCovered);
	CPPUNIT_TEST(overPromisedCapacityIsNotPromisedAgain);
	CPPUNIT_TEST(theNumberOfNodesIsBounded);
	CPPUNIT_TEST_SUITE_END();

public:
	/// Guards against callers that return together: 200 callers refused at once, while the 240 streams of one of three
	/// chains end over 3 s.
	void returnsOfManyNodesFitTheRoom()
	{
		hall_.runUntil(1000);
		hall_.refuse(200);
		for (int64_t step = 1000; step < 9000; step += kForecastStep.millis())
		{
			hall_.runUntil(step);
			CPPUNIT_ASSERT(hall_.returned <= hall_.ended);
		}
		CPPUNIT_ASSERT_EQUAL(200 * kTokens, hall_.returned);
		CPPUNIT_ASSERT(hall_.refusedAgain < 20);
	}

	/// Guards against capacity that stays reserved for callers that have left.
	void promisesToCallersThatNeverReturnExpire()
	{
		hall_.callersReturn = false;
		hall_.runUntil(1000);
		hall_.refuse(240);
		hall_.runUntil(9500);
		CPPUNIT_ASSERT(hall_.refuse(1) < 2000);
	}

	/// Guards against nodes that promise nothing, or all the same capacity, after the hub is lost.
	void withoutHubNodesPromiseTheirOwnReleases()
	{
		hall_.hasHub = false;
		hall_.runUntil(1000);
		hall_.refuse(200);
		hall_.runUntil(5000);
		CPPUNIT_ASSERT(hall_.returned <= hall_.ended);
		CPPUNIT_ASSERT(150 * kTokens < hall_.returned);
		CPPUNIT_ASSERT(hall_.refusedAgain < 20);
	}

	/// Guards against releases that are promised though they are past, and reports of stopped nodes.
	void lateReportsAreAged()
	{
		CapacityForecast hub;
		ServiceDemand demand;
		demand.released[1] = kTokens; // 500 to 1,000 ms
		demand.waiting[0] = kTokens;
		CPPUNIT_ASSERT(hub.onReport("a", demand, at(0)));
		CPPUNIT_ASSERT_EQUAL(kTokens, hub.forecast("a", 0, at(0))[1]);
		CPPUNIT_ASSERT_EQUAL(kTokens, hub.forecast("a", 0, at(500))[0]);
		CPPUNIT_ASSERT_EQUAL(kTokens, hub.forecast("a", kTokens, at(1000))[9]);
		CPPUNIT_ASSERT(!hub.onReport("a", demand, Time{-1}));
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), hub.nodes(at(1500)));
		CPPUNIT_ASSERT_EQUAL(std::size_t(0), hub.nodes(at(1700)));
		CPPUNIT_ASSERT_EQUAL(uint64_t(0), hub.forecast("a", kTokens, at(1700))[9]);
		CPPUNIT_ASSERT(hub.onReport("b", ServiceDemand{}, at(1700)));
		CPPUNIT_ASSERT_EQUAL(kTokens, hub.forecast("b", kTokens, at(1700))[9]);
	}

	/// Guards against nodes that together are given more than is expected to be free, at any order of reports, while
	/// the capacity does not fall.
	void partsNeverExceedTheCapacity()
	{
		CPPUNIT_ASSERT(rc::check("parts never exceed the capacity", checkRandomReports));
	}

	/// Guards against promises that are subtracted twice, by the hub and by the node.
	void ownPromisesAndWaitingRequestsAreCovered()
	{
		CapacityForecast hub;
		ServiceDemand demand;
		demand.promised[0] = kTokens;
		demand.waiting[2] = kTokens;
		CPPUNIT_ASSERT(hub.onReport("a", demand, at(0)));
		CPPUNIT_ASSERT_EQUAL(4 * kTokens, hub.forecast("a", 4 * kTokens, at(0))[0]);
	}

	/// Guards against promises to urgent callers, made beside those to others, that raise the node's own part again.
	void overPromisedCapacityIsNotPromisedAgain()
	{
		CapacityForecast hub;
		ServiceDemand demand;
		demand.promised[0] = 3 * kTokens;
		CPPUNIT_ASSERT(hub.onReport("a", demand, at(0)));
		CPPUNIT_ASSERT(hub.onReport("b", demand, at(0)));
		CPPUNIT_ASSERT_EQUAL(kTokens, hub.forecast("a", 2 * kTokens, at(0))[0]);
		CPPUNIT_ASSERT_EQUAL(kTokens, hub.forecast("b", 2 * kTokens, at(0))[0]);
	}

	void theNumberOfNodesIsBounded()
	{
		CapacityForecast hub;
		for (std::size_t index = 0; index < CapacityForecast::kMaxNodes; ++index)
		{
			CPPUNIT_ASSERT(hub.onReport(std::to_string(index), ServiceDemand{}, at(0)));
		}
		CPPUNIT_ASSERT(!hub.onReport("one more", ServiceDemand{}, at(0)));
		CPPUNIT_ASSERT(hub.onReport("0", ServiceDemand{}, at(1)));
	}

private:
	static void checkRandomReports()
	{
		constexpr int kReports = 60;
		constexpr int kReporting = 5;
		constexpr uint64_t kFree = 1'000'000;
		CapacityForecast hub;
		std::array<StepTokens, kReporting> given{};
		for (int report = 0; report < kReports; ++report)
		{
			const int node = *rc::gen::inRange(0, kReporting);
			ServiceDemand demand;
			demand.waiting[1] = *rc::gen::inRange(0, 400'000);
			demand.recent[2] = *rc::gen::inRange(0, 1'000'000);
			demand.promised[3] = *rc::gen::inRange(0, 400'000);
			const Time now = at(report * 5);
			RC_ASSERT(hub.onReport(nodeName(node), demand, now));
			given[static_cast<std::size_t>(node)] = hub.forecast(nodeName(node), kFree, now);
			uint64_t all = 0;
			for (const StepTokens& one : given)
			{
				all += one[kForecastSteps - 1];
			}
			RC_ASSERT(all <= kFree);
		}
	}

	Hall hall_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CapacityForecastTest);

} // namespace sedgecart

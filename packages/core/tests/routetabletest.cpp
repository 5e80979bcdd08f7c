// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <core/eventsplitter.h>
#include <core/retryshare.h>
#include <core/routetable.h>

#include <cppunit/extensions/HelperMacros.h>

namespace sedgecart
{

namespace
{

HostRoute route(const std::string& _host, const std::string& _prefix)
{
	HostRoute result;
	result.name = _host + _prefix;
	result.host = _host;
	result.pathPrefix = _prefix;
	result.services.push_back(WeightedService{"a", 3});
	result.services.push_back(WeightedService{"b", 1});
	return result;
}

std::shared_ptr<const DesiredState> state()
{
	auto result = std::make_shared<DesiredState>();
	result->routes = {route("one.example", "/"), route("one.example", "/a/b/"), route("one.example", "/a/"),
	                  route("two.example", "/x/")};
	result->customers.push_back(KeyHolder{"bank", {"k1", "k2"}, 1, true});
	result->keysRequired = true;
	return result;
}

std::string found(const RouteTable& _table, const char* _host, const char* _path)
{
	const HostRoute* const route = _table.findRoute(_host, _path);
	return nullptr == route ? "none" : route->name;
}

} // namespace

class RouteTableTest : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(RouteTableTest);
	CPPUNIT_TEST(longestPrefixOfTheHostMatches);
	CPPUNIT_TEST(customerIsFoundByKey);
	CPPUNIT_TEST(serviceIsSelectedByWeight);
	CPPUNIT_TEST(severalUrgenciesOfStreamsPrioritizeTheirService);
	CPPUNIT_TEST(routesRankWithinTheUrgencyOfCustomers);
	CPPUNIT_TEST_SUITE_END();

public:
	/// Services whose streams are all equally urgent, or that have several urgencies only among calls, must be served
	/// as without priorities.
	void severalUrgenciesOfStreamsPrioritizeTheirService()
	{
		auto desired = std::make_shared<DesiredState>(*state());
		for (HostRoute& stream : desired->routes)
		{
			stream.kind = RequestKind::Stream;
		}
		CPPUNIT_ASSERT(!RouteTable(desired).isPrioritized("a"));
		desired->routes.front().urgency = 0;
		CPPUNIT_ASSERT(RouteTable(desired).isPrioritized("a"));
		CPPUNIT_ASSERT(RouteTable(desired).isPrioritized("b"));
		CPPUNIT_ASSERT(!RouteTable(desired).isPrioritized("c"));
		desired->routes.front().kind = RequestKind::Idempotent;
		CPPUNIT_ASSERT(!RouteTable(desired).isPrioritized("a"));
	}

	/// Customers that all have the same urgency must not make all routes equally urgent.
	void routesRankWithinTheUrgencyOfCustomers()
	{
		auto desired = std::make_shared<DesiredState>(*state());
		for (HostRoute& stream : desired->routes)
		{
			stream.kind = RequestKind::Stream;
		}
		desired->routes.back().urgency = 2;
		desired->customers.push_back(KeyHolder{"club", {"k3"}, 4, true});
		const RouteTable table(desired);
		const KeyHolder& bank = desired->customers.front();
		const KeyHolder& club = desired->customers.back();
		const HostRoute& usual = desired->routes.front();
		const HostRoute& urgent = desired->routes.back();
		CPPUNIT_ASSERT_EQUAL(0U, table.rankOf("a", urgent, &bank));
		CPPUNIT_ASSERT_EQUAL(1U, table.rankOf("a", usual, &bank));
		CPPUNIT_ASSERT_EQUAL(2U, table.rankOf("a", urgent, &club));
		CPPUNIT_ASSERT_EQUAL(3U, table.rankOf("a", usual, &club));
		CPPUNIT_ASSERT_EQUAL(0U, table.rankOf("a", urgent, nullptr));
		CPPUNIT_ASSERT_EQUAL(1U, RouteTable::urgencyOf(urgent, &bank));
	}

	void longestPrefixOfTheHostMatches()
	{
		const RouteTable table(state());
		CPPUNIT_ASSERT_EQUAL(std::string("one.example/a/b/"), found(table, "one.example", "/a/b/c"));
		CPPUNIT_ASSERT_EQUAL(std::string("one.example/a/"), found(table, "One.Example:80", "/a/bc?x=/a/b/"));
		CPPUNIT_ASSERT_EQUAL(std::string("one.example/"), found(table, "one.example", "/ab"));
		CPPUNIT_ASSERT_EQUAL(std::string("none"), found(table, "two.example", "/y/"));
		CPPUNIT_ASSERT_EQUAL(std::string("none"), found(table, "three.example", "/"));
	}

	void customerIsFoundByKey()
	{
		const RouteTable table(state());
		CPPUNIT_ASSERT_EQUAL(std::string("bank"), table.findCustomer("k2")->name);
		CPPUNIT_ASSERT(nullptr == table.findCustomer(""));
		CPPUNIT_ASSERT(nullptr == table.findCustomer("k"));
	}

	void serviceIsSelectedByWeight()
	{
		const HostRoute split = route("one.example", "/");
		CPPUNIT_ASSERT_EQUAL(std::string("a"), pickService(split, 0)->service);
		CPPUNIT_ASSERT_EQUAL(std::string("a"), pickService(split, UINT64_MAX / 8 * 5)->service);
		CPPUNIT_ASSERT_EQUAL(std::string("b"), pickService(split, UINT64_MAX / 8 * 7)->service);
		HostRoute none = split;
		none.services = {WeightedService{"a", 0}};
		CPPUNIT_ASSERT(nullptr == pickService(none, 7));
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(RouteTableTest);

class EventSplitterTest : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(EventSplitterTest);
	CPPUNIT_TEST(onlyCompleteEventsPass);
	CPPUNIT_TEST(idsMustBeConsecutive);
	CPPUNIT_TEST(inputCanBeSplitAnywhere);
	CPPUNIT_TEST_SUITE_END();

public:
	void onlyCompleteEventsPass()
	{
		EventSplitter splitter(std::nullopt);
		std::string whole;
		CPPUNIT_ASSERT(splitter.feed("weight-versions: 1\nid: 0\ndata: x\n\nid: 1\nda", whole));
		CPPUNIT_ASSERT_EQUAL(std::string("weight-versions: 1\nid: 0\ndata: x\n\n"), whole);
		CPPUNIT_ASSERT(!splitter.atBoundary());
		CPPUNIT_ASSERT(splitter.feed("ta: y\n\n", whole));
		CPPUNIT_ASSERT(splitter.atBoundary());
		CPPUNIT_ASSERT(1U == splitter.lastId().value());
	}

	void idsMustBeConsecutive()
	{
		EventSplitter splitter(5);
		std::string whole;
		CPPUNIT_ASSERT(splitter.feed("id: 6\n\n", whole));
		CPPUNIT_ASSERT(!splitter.feed("id: 8\n\n", whole));
	}

	void inputCanBeSplitAnywhere()
	{
		const std::string all = "id: 0\ndata: a\n\nid: 1\ndata: b\n\n: note\n\nid: 2\n\n";
		for (std::size_t cut = 0; cut <= all.size(); ++cut)
		{
			EventSplitter splitter(std::nullopt);
			std::string first;
			std::string second;
			CPPUNIT_ASSERT(splitter.feed(all.substr(0, cut), first));
			CPPUNIT_ASSERT(splitter.feed(all.substr(cut), second));
			CPPUNIT_ASSERT_EQUAL(all, first + second);
		}
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(EventSplitterTest);

class RetryShareTest : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(RetryShareTest);
	CPPUNIT_TEST(slackIsShared);
	CPPUNIT_TEST(youngProcessUsesWhatOlderOnesLeave);
	CPPUNIT_TEST(unknownNodeCountGivesNoSlack);
	CPPUNIT_TEST(partIsReservedForStartedRequests);
	CPPUNIT_TEST(windowSlides);
	CPPUNIT_TEST(allNodesTogetherStayWithinTheBound);
	CPPUNIT_TEST_SUITE_END();

public:
	void slackIsShared()
	{
		RetryAllowance allowance;
		allowance.ratio = 0;
		allowance.slack = 100;
		RetryShare share;
		CPPUNIT_ASSERT_EQUAL(8U, takeAll(share, allowance, known(10), RetryPurpose::Started, Time{0}));
	}

	void youngProcessUsesWhatOlderOnesLeave()
	{
		RetryAllowance allowance;
		allowance.slack = 100;
		const BudgetNodes unknown{1, Duration{}};
		const BudgetNodes halfAWindow{1, Duration::fromMillis(5000)};
		RetryShare share;
		CPPUNIT_ASSERT_EQUAL(0U, takeAll(share, allowance, unknown, RetryPurpose::Started, Time{0}));
		for (uint32_t request = 0; request < 52; ++request)
		{
			share.onFirstSend(Time{5000000});
		}
		// 0.2 of the 10.4 earned retries and of half of the slack, then 0.8 of all.
		CPPUNIT_ASSERT_EQUAL(12U, takeAll(share, allowance, halfAWindow, RetryPurpose::Started, Time{5000000}));
		CPPUNIT_ASSERT_EQUAL(76U, takeAll(share, allowance, known(1), RetryPurpose::Started, Time{10000000}));
	}

	void unknownNodeCountGivesNoSlack()
	{
		RetryAllowance allowance;
		allowance.slack = 100;
		RetryShare share;
		CPPUNIT_ASSERT_EQUAL(0U, takeAll(share, allowance, BudgetNodes{}, RetryPurpose::Started, Time{0}));
	}

	void partIsReservedForStartedRequests()
	{
		RetryAllowance allowance;
		allowance.ratio = 0;
		allowance.slack = 10;
		RetryShare share;
		CPPUNIT_ASSERT_EQUAL(6U, takeAll(share, allowance, known(1), RetryPurpose::NotStarted, Time{0}));
		CPPUNIT_ASSERT_EQUAL(2U, takeAll(share, allowance, known(1), RetryPurpose::Started, Time{0}));
	}

	void windowSlides()
	{
		RetryAllowance allowance;
		allowance.ratio = 0;
		allowance.slack = 2;
		RetryShare share;
		CPPUNIT_ASSERT(share.tryTake(allowance, known(1), RetryPurpose::Started, Time{0}));
		CPPUNIT_ASSERT(!share.tryTake(allowance, known(1), RetryPurpose::Started, Time{9000000}));
		CPPUNIT_ASSERT(share.tryTake(allowance, known(1), RetryPurpose::Started, Time{11100000}));
	}

	/// Nodes that do not communicate, each of which takes as many retries as it gets: in every time window their sum
	/// must stay within the bound for all.
	void allNodesTogetherStayWithinTheBound()
	{
		constexpr uint32_t kNodes = 9;
		RetryAllowance allowance;
		allowance.slack = 202;
		std::vector<RetryShare> shares(kNodes);
		std::vector<uint32_t> repeats(400, 0);
		for (uint32_t step = 0; step < repeats.size(); ++step)
		{
			const Time now{int64_t(step) * 100000};
			for (RetryShare& share : shares)
			{
				share.onFirstSend(now);
				while (share.tryTake(allowance, known(kNodes), RetryPurpose::Started, now))
				{
					++repeats[step];
				}
			}
		}
		for (uint32_t begin = 0; begin + 100 <= repeats.size(); ++begin)
		{
			uint32_t sum = 0;
			for (uint32_t step = begin; step < begin + 100; ++step)
			{
				sum += repeats[step];
			}
			CPPUNIT_ASSERT(sum <= 0.2 * 100 * kNodes + 202);
		}
	}

private:
	/// @returns nodes that are known for a window.
	static BudgetNodes known(uint32_t _count)
	{
		return BudgetNodes{_count, RetryAllowance{}.window};
	}

	/// @returns how many retries the share grants at once.
	static uint32_t takeAll(RetryShare& _share, const RetryAllowance& _allowance, const BudgetNodes& _nodes,
	                        RetryPurpose::Enum _purpose, Time _now)
	{
		uint32_t taken = 0;
		while (_share.tryTake(_allowance, _nodes, _purpose, _now))
		{
			++taken;
		}
		return taken;
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(RetryShareTest);

} // namespace sedgecart

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <core/fairqueue.h>

#include <cppunit/extensions/HelperMacros.h>

#include <map>

namespace sedgecart
{

namespace
{

WaitingRequest queued(uint64_t _id, const std::string& _customer, uint32_t _weight = 1)
{
	WaitingRequest made;
	made.id = _id;
	made.customer = _customer;
	made.weight = _weight;
	made.cost = 10;
	made.expiresAt = Time{1000};
	return made;
}

} // namespace

class FairQueueTest : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(FairQueueTest);
	CPPUNIT_TEST(floodDoesNotDelayOthers);
	CPPUNIT_TEST(sharesFollowWeights);
	CPPUNIT_TEST(startedWorkGoesFirst);
	CPPUNIT_TEST(expiredRequestsAreRemoved);
	CPPUNIT_TEST(workThatWasNotQueuedIsCharged);
	CPPUNIT_TEST(withdrawnWorkIsNotCharged);
	CPPUNIT_TEST_SUITE_END();

public:
	void floodDoesNotDelayOthers()
	{
		FairQueue queue;
		for (uint64_t id = 0; id < 100; ++id)
		{
			queue.push(queued(id, "large"));
		}
		queue.push(queued(100, "small"));
		queue.pop();
		CPPUNIT_ASSERT_EQUAL(std::string("small"), queue.front()->customer);
	}

	void sharesFollowWeights()
	{
		FairQueue queue;
		for (uint64_t id = 0; id < 60; ++id)
		{
			queue.push(queued(2 * id, "heavy", 3));
			queue.push(queued(2 * id + 1, "light", 1));
		}
		std::map<std::string, int> served;
		for (int turn = 0; turn < 40; ++turn)
		{
			++served[queue.front()->customer];
			queue.pop();
		}
		CPPUNIT_ASSERT_EQUAL(30, served["heavy"]);
		CPPUNIT_ASSERT_EQUAL(10, served["light"]);
	}

	void startedWorkGoesFirst()
	{
		FairQueue queue;
		queue.push(queued(1, "a"));
		queue.pushFront(queued(2, "b"));
		CPPUNIT_ASSERT_EQUAL(uint64_t{2}, queue.front()->id);
	}

	void expiredRequestsAreRemoved()
	{
		FairQueue queue;
		queue.push(queued(1, "a"));
		CPPUNIT_ASSERT_EQUAL(std::size_t{0}, queue.expire(Time{999}).size());
		CPPUNIT_ASSERT_EQUAL(std::size_t{1}, queue.expire(Time{1000}).size());
		CPPUNIT_ASSERT_EQUAL(std::size_t{0}, queue.size());
	}

	void workThatWasNotQueuedIsCharged()
	{
		FairQueue queue;
		queue.charge("large", 1, 1000);
		queue.push(queued(1, "large"));
		queue.push(queued(2, "small"));
		CPPUNIT_ASSERT_EQUAL(uint64_t{2}, queue.front()->id);
	}

	/// A customer whose requests expire must not fall behind one whose requests are served.
	void withdrawnWorkIsNotCharged()
	{
		FairQueue queue;
		for (uint64_t id = 1; id < 10; ++id)
		{
			queue.push(queued(id, "a"));
			CPPUNIT_ASSERT(!queue.withdraw("a", id + 1));
			CPPUNIT_ASSERT(queue.withdraw("a", id));
		}
		queue.push(queued(10, "a"));
		queue.push(queued(11, "b"));
		queue.pop();
		queue.push(queued(12, "b"));
		queue.push(queued(13, "a"));
		CPPUNIT_ASSERT_EQUAL(uint64_t{11}, queue.front()->id);
		queue.pop();
		CPPUNIT_ASSERT_EQUAL(uint64_t{13}, queue.front()->id);
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(FairQueueTest);

} // namespace sedgecart

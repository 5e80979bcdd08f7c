// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "leaseplay.h"

#include <leases/capacityoffers.h>
#include <leases/hallcapacity.h>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace sedgecart
{

class LeaseFailureTest : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(LeaseFailureTest);
	CPPUNIT_TEST(requestsAreHeldBackWhileCapacityIsFree);
	CPPUNIT_TEST(aBurstWaitsForMoreThanOneReport);
	CPPUNIT_TEST(nodesThatReportLastStarve);
	CPPUNIT_TEST(aLargeRequestStarves);
	CPPUNIT_TEST(theLeastUrgentStarve);
	CPPUNIT_TEST(theLeastUrgentTakeTheCapacityOfTheMostUrgent);
	CPPUNIT_TEST(hubLostWithOutstandingLeases);
	CPPUNIT_TEST(nodeLostWithLeases);
	CPPUNIT_TEST(hallPartitioned);
	CPPUNIT_TEST(allNodesRestarted);
	CPPUNIT_TEST(targetLostUnderLeases);
	CPPUNIT_TEST(requestGivenBackAfterItWasReported);
	CPPUNIT_TEST(answerLateOrOvertaken);
	CPPUNIT_TEST(offersUsedTwice);
	CPPUNIT_TEST(aFullRangeOfLayersLimitsTheHall);
	CPPUNIT_TEST_SUITE_END();

public:
	/// The free capacity is what all nodes use in 2.4 s. The only request before the leases comes to one node.
	void requestsAreHeldBackWhileCapacityIsFree()
	{
		LeaseHall hall(20);
		hall.capacity = 3 * kCapacity;
		CPPUNIT_ASSERT(hall.nodes[0].account().tryTake(kUsual, 0, hall.now)); // leases are not active yet
		hall.steps(kLearning);
		for (int step = 0; step < 20; ++step)
		{
			hall.step();
			for (std::size_t index = 0; index < hall.nodes.size(); ++index)
			{
				const std::size_t count = 0 == index ? 4 : 1; // one of the nodes has most of the requests
				for (std::size_t request = 0; request < count; ++request)
				{
					CPPUNIT_ASSERT(hall.nodes[index].take(kUsual, 2, hall.now));
					hall.nodes[index].end(kUsual);
				}
			}
		}
	}

	void aBurstWaitsForMoreThanOneReport()
	{
		LeaseHall hall(20);
		hall.steps(kLearning);
		PlayedNode& node = hall.nodes[7];
		while (node.take(kUsual, 1, hall.now))
		{
		}
		hall.waiting[7][1] = 5 * kUsual;
		hall.now = hall.now + Duration::fromMillis(15);
		hall.exchange(7);
		for (int request = 0; request < 5; ++request)
		{
			CPPUNIT_ASSERT(node.take(kUsual, 1, hall.now));
		}
	}

	/// In each step the nodes report in the same order, and the first ones find all that has become free.
	void nodesThatReportLastStarve()
	{
		LeaseHall hall(20);
		hall.capacity = 20 * kUsual;
		hall.steps(kLearning);
		std::vector<uint64_t> admitted(hall.nodes.size());
		for (int step = 0; step < 200; ++step)
		{
			for (std::size_t index = 0; index < hall.nodes.size(); ++index)
			{
				while (hall.nodes[index].take(kUsual, 0, hall.now))
				{
					++admitted[index];
				}
				hall.nodes[index].end(static_cast<std::size_t>(step) % 4 == index % 4 ? hall.nodes[index].load() : 0);
				hall.waiting[index][0] = 5 * kUsual;
			}
			hall.step();
		}
		const auto ends = std::minmax_element(admitted.begin(), admitted.end());
		CPPUNIT_ASSERT_LESSEQUAL(2 * *ends.first, *ends.second);
	}

	/// It needs several parts, which its node must be able to collect.
	void aLargeRequestStarves()
	{
		LeaseHall hall(20);
		hall.capacity = 20 * kUsual;
		hall.steps(kLearning);
		bool isAdmitted = false;
		for (int step = 0; step < 100 && !isAdmitted; ++step)
		{
			for (std::size_t index = 1; index < hall.nodes.size(); ++index)
			{
				while (hall.nodes[index].take(kUsual, 0, hall.now))
				{
				}
				hall.nodes[index].end(static_cast<std::size_t>(step) % 4 == index % 4 ? hall.nodes[index].load() : 0);
				hall.waiting[index][0] = 5 * kUsual;
			}
			hall.waiting[0][0] = 6 * kUsual;
			hall.step();
			isAdmitted = hall.nodes[0].take(6 * kUsual, 0, hall.now);
		}
		CPPUNIT_ASSERT(isAdmitted);
	}

	void theLeastUrgentStarve()
	{
		std::array<uint64_t, 3> admitted = admittedUnderOverload();
		const uint64_t all = admitted[0] + admitted[1] + admitted[2];
		CPPUNIT_ASSERT_GREATEREQUAL(all / 20, admitted[2]);
		CPPUNIT_ASSERT_GREATEREQUAL(all / 20, admitted[1]);
	}

	void theLeastUrgentTakeTheCapacityOfTheMostUrgent()
	{
		std::array<uint64_t, 3> admitted = admittedUnderOverload();
		CPPUNIT_ASSERT_GREATEREQUAL(3 * admitted[2], admitted[0]);
	}

	/// Nodes go on with their leases until these end, then by the floor; nothing is leased twice by the new hub.
	void hubLostWithOutstandingLeases()
	{
		LeaseHall hall(5);
		hall.steps(kLearning);
		hall.nodes[0].take(2 * kUsual, 0, hall.now);
		hall.setHub();
		CPPUNIT_ASSERT(hall.nodes[1].take(kUsual, 0, hall.now));
		for (int step = 0; step < 10; ++step)
		{
			hall.step();
			hall.takeAll();
			CPPUNIT_ASSERT_LESSEQUAL(kCapacity, hall.load());
		}
		CPPUNIT_ASSERT(hall.nodes[1].account().takeEvents(hall.now).hasLease);
		CPPUNIT_ASSERT_GREATEREQUAL(kCapacity * 3 / 4, hall.load());
	}

	/// What a dead node could use is lent to others once its lease has ended, not before.
	void nodeLostWithLeases()
	{
		LeaseHall hall(2);
		hall.steps(kLearning);
		const uint64_t lent = hall.hub->ledger().outstanding(hall.now);
		CPPUNIT_ASSERT_GREATEREQUAL(kCapacity / 2, lent);
		hall.nodes.pop_back();
		hall.step();
		hall.takeAll();
		CPPUNIT_ASSERT_LESSEQUAL(kCapacity - lent / 2, hall.load());
		hall.steps(6);
		hall.waiting[0][0] = kCapacity / 2;
		hall.step();
		hall.takeAll();
		CPPUNIT_ASSERT_GREATEREQUAL(kCapacity * 3 / 4, hall.load());
	}

	void hallPartitioned()
	{
		LeaseHall hall(2);
		hall.steps(kLearning);
		LeaseAccount& account = hall.nodes[0].account();
		for (int request = 0; request < 10; ++request)
		{
			CPPUNIT_ASSERT(hall.nodes[0].take(kUsual, 0, hall.now));
		}
		const Time end = hall.now + kLeaseTerm;
		CPPUNIT_ASSERT(!account.takeEvents(end).hasLease);
		CPPUNIT_ASSERT(0 < hall.hub->ledger().outstanding(Time{end.micros - 1}));
		uint64_t admitted = 0;
		for (Time now = end; now < end + Duration::fromMillis(10000); now = now + Duration::fromMillis(10))
		{
			admitted += account.tryTake(kUsual, 2, now) ? kUsual : 0;
		}
		const uint64_t rate = 10 * kUsual / 2 * 8 / 10; // of the 2 s before, for 10 s
		CPPUNIT_ASSERT_GREATEREQUAL(9 * rate, admitted);
		CPPUNIT_ASSERT_LESSEQUAL(11 * rate, admitted);
		CPPUNIT_ASSERT(account.isActive(end));
	}

	/// They admit as without leases until a lease comes, which does not happen while the new hub learns their loads.
	void allNodesRestarted()
	{
		LeaseHall hall(3);
		hall.steps(kLearning);
		hall.takeAll();
		for (PlayedNode& node : hall.nodes)
		{
			node.restart();
		}
		hall.setHub();
		hall.step();
		CPPUNIT_ASSERT(!hall.nodes[0].account().isActive(hall.now));
		CPPUNIT_ASSERT_EQUAL(uint64_t(0), hall.hub->ledger().outstanding(hall.now));
		hall.steps(kLearning);
		CPPUNIT_ASSERT(hall.nodes[0].account().takeEvents(hall.now).hasLease);
	}

	/// Leases for lost capacity are withdrawn with the next answers.
	void targetLostUnderLeases()
	{
		LeaseHall hall(4);
		hall.steps(kLearning);
		hall.capacity = kCapacity / 4;
		hall.step();
		hall.takeAll();
		CPPUNIT_ASSERT_LESSEQUAL(kCapacity / 4, hall.load());
	}

	/// The hub may have lent the same tokens to another node.
	void requestGivenBackAfterItWasReported()
	{
		LeaseHall hall(1);
		hall.steps(kLearning);
		LeaseAccount& account = hall.nodes[0].account();
		ServiceDemand before;
		account.fillDemand(before, hall.now);
		const std::optional<LeaseGrant> first = account.tryTake(kUsual, 0, hall.now);
		CPPUNIT_ASSERT(first);
		account.giveBack(*first);
		ServiceDemand same;
		account.fillDemand(same, hall.now);
		CPPUNIT_ASSERT_EQUAL(before.leaseUsed, same.leaseUsed);
		const std::optional<LeaseGrant> reported = account.tryTake(kUsual, 0, hall.now);
		CPPUNIT_ASSERT(reported);
		account.fillDemand(same, hall.now);
		account.giveBack(*reported);
		ServiceDemand after;
		account.fillDemand(after, hall.now);
		CPPUNIT_ASSERT_EQUAL(before.leaseUsed + kUsual, after.leaseUsed);
	}

	/// The term counts from the report, since the hub's may have begun right after it.
	void answerLateOrOvertaken()
	{
		LeaseAccount account;
		const Time sentAt{1000000};
		const Time later = sentAt + Duration::fromMillis(400);
		account.apply(ServiceCapacity{1000, kLeaseTerm}, 2, sentAt, later);
		account.apply(ServiceCapacity{5000, kLeaseTerm}, 1, sentAt, later);
		CPPUNIT_ASSERT(!account.tryTake(1000, 0, later));
		CPPUNIT_ASSERT(account.takeEvents(Time{(sentAt + kLeaseTerm).micros - 1}).hasLease);
		CPPUNIT_ASSERT(!account.takeEvents(sentAt + kLeaseTerm).hasLease);
		account.apply(ServiceCapacity{5000, kLeaseTerm}, 3, sentAt, sentAt + kLeaseTerm);
		CPPUNIT_ASSERT(!account.takeEvents(sentAt + kLeaseTerm).hasLease);
	}

	void offersUsedTwice()
	{
		CapacityOffers maker;
		CapacityOffers taker;
		const Time now{1000000};
		CPPUNIT_ASSERT_EQUAL(uint64_t(300), maker.offer(900, 3, now));
		CPPUNIT_ASSERT_EQUAL(uint64_t(100), maker.offer(300, 3, now));
		CPPUNIT_ASSERT_EQUAL(uint64_t(900), maker.outstanding(now));
		taker.onOffer("hub", 300, kOfferTerm, 50, now);
		CPPUNIT_ASSERT_EQUAL(uint64_t(300), taker.received(50, now));
		CPPUNIT_ASSERT_EQUAL(uint64_t(100), taker.received(250, now));
		CPPUNIT_ASSERT_EQUAL(uint64_t(0), taker.received(50, now + kOfferTerm));
		CPPUNIT_ASSERT_EQUAL(uint64_t(0), maker.outstanding(now + kOfferTerm + kLeaseTerm));
	}

	void aFullRangeOfLayersLimitsTheHall()
	{
		std::vector<HallTarget> targets = {{0, 4, 1000, 100, 0, 0}, {4, 8, 1000, 800, 0, 0}, {4, 8, 1000, 950, 0, 0}};
		CPPUNIT_ASSERT_EQUAL(uint64_t(100), hallCapacity(targets, 8, 50).free);
		CPPUNIT_ASSERT_EQUAL(uint64_t(900), hallCapacity(targets, 8, 50).tokens);
		targets[0].slots = 8;
		targets[0].requests = 7;
		CPPUNIT_ASSERT_EQUAL(uint64_t(50), hallCapacity(targets, 8, 50).free);
		targets.erase(targets.begin());
		CPPUNIT_ASSERT_EQUAL(uint64_t(0), hallCapacity(targets, 8, 50).free); // no whole chain
	}

private:
	/// @returns the tokens admitted by urgency, by nodes of which each has requests of one urgency only, where a tenth
	/// of all of them can be served.
	static std::array<uint64_t, 3> admittedUnderOverload()
	{
		LeaseHall hall(9);
		hall.steps(kLearning);
		std::array<uint64_t, 3> admitted{};
		for (int step = 0; step < 100; ++step)
		{
			for (std::size_t index = 0; index < hall.nodes.size(); ++index)
			{
				const auto urgency = static_cast<uint32_t>(index % 3);
				while (hall.nodes[index].take(kUsual, urgency, hall.now))
				{
					admitted[urgency] += 10 < step ? kUsual : 0;
				}
				hall.nodes[index].end(hall.nodes[index].load() / 8);
				hall.waiting[index][urgency] = 20 * kUsual;
			}
			hall.step();
		}
		return admitted;
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeaseFailureTest);

} // namespace sedgecart

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <admission/waitqueue.h>

#include <base/seededrandom.h>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <chrono>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace sedgecart
{

namespace
{

constexpr uint64_t kTokens = 400;

Time at(int64_t _millis)
{
	return Time{Duration::fromMillis(_millis).micros};
}

PendingRequest request(uint64_t _id, uint32_t _urgency, int64_t _startByMs, const std::string& _customer = "a")
{
	PendingRequest made;
	made.id = _id;
	made.customer = _customer;
	made.urgency = _urgency;
	made.tokens = kTokens;
	made.startBy = at(_startByMs);
	made.expiresAt = made.startBy;
	return made;
}

/// A stream that has begun; its client leaves at 2 s.
PendingRequest begun(uint64_t _id, uint32_t _urgency, int64_t _startByMs)
{
	PendingRequest made = request(_id, _urgency, _startByMs);
	made.hasBegun = true;
	made.expiresAt = at(2000);
	return made;
}

std::vector<uint64_t> admitAll(WaitQueue& _queue)
{
	std::vector<uint64_t> ids;
	while (nullptr != _queue.next())
	{
		ids.push_back(_queue.next()->id);
		_queue.admit(ids.back());
	}
	return ids;
}

/// Streams of one urgency that a customer sends.
struct Flow
{
	std::string customer;
	uint32_t urgency = 0;
	double perSecond = 0;
	uint64_t sent = 0;
	uint64_t served = 0;

	double share() const
	{
		return static_cast<double>(served) / static_cast<double>(sent);
	}
};

/// Feeds a queue with random arrivals of flows, and admits at a rate that a test changes. A step is a millisecond.
class LoadPlay
{
public:
	explicit LoadPlay(std::vector<Flow> _flows) : flows(std::move(_flows))
	{
	}

	void run(int64_t _millis, double _admittedPerSecond)
	{
		constexpr double kStepsPerSecond = 1000;
		for (const int64_t end = now_ + _millis; now_ < end; ++now_)
		{
			for (std::size_t flow = 0; flow < flows.size(); ++flow)
			{
				arrive(flow, flows[flow].perSecond / kStepsPerSecond);
			}
			queue.expire(at(now_));
			free_ = std::min(free_ + _admittedPerSecond / kStepsPerSecond, 2.0); // unused capacity is not kept
			for (; 1 <= free_ && nullptr != queue.next(); --free_)
			{
				++flows[flowOf_.at(queue.next()->id)].served;
				queue.admit(queue.next()->id);
			}
		}
	}

	/// @returns the served share of an urgency.
	double share(uint32_t _urgency) const
	{
		Flow sum;
		for (const Flow& flow : flows)
		{
			sum.sent += _urgency == flow.urgency ? flow.sent : 0;
			sum.served += _urgency == flow.urgency ? flow.served : 0;
		}
		return sum.share();
	}

	std::vector<Flow> flows;
	WaitQueue queue;

private:
	void arrive(std::size_t _flow, double _probability)
	{
		constexpr uint32_t kRange = 1000000;
		if (kRange * _probability <= random_.below(kRange))
		{
			return;
		}
		Flow& flow = flows[_flow];
		++flow.sent;
		const int64_t objective = 2 == flow.urgency ? 900 : 400; // less the time to the first event
		flowOf_[++lastId_] = _flow;
		queue.push(request(lastId_, flow.urgency, now_ + objective, flow.customer), true);
	}

	SeededRandom random_{7};
	std::map<uint64_t, std::size_t> flowOf_;
	uint64_t lastId_ = 0;
	int64_t now_ = 0;
	double free_ = 0;
};

/// The streams of the workload, in requests per second; the least urgent class at a multiple of its rate.
std::vector<Flow> workload(double _leastUrgentTimes)
{
	constexpr int kCustomers = 8;
	std::vector<Flow> flows;
	for (int customer = 0; customer < kCustomers; ++customer)
	{
		const std::string name = std::to_string(customer);
		flows.push_back(Flow{name, 0, 143.0 / kCustomers});
		flows.push_back(Flow{name, 1, 79.0 / kCustomers});
		flows.push_back(Flow{name, 2, 49.0 * _leastUrgentTimes / kCustomers});
	}
	return flows;
}

} // namespace

class WaitQueueTest : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(WaitQueueTest);
	CPPUNIT_TEST(requestsAreAdmittedInOrder);
	CPPUNIT_TEST(lateStreamsGiveWay);
	CPPUNIT_TEST(moreUrgentRequestsDisplaceOthers);
	CPPUNIT_TEST(passedOverRequestsKeepTheirPlace);
	CPPUNIT_TEST(burstOfTheLeastUrgentLeavesSharesOrdered);
	CPPUNIT_TEST(largeCustomerDoesNotTakeTheSharesOfOthers);
	CPPUNIT_TEST(lossOfAllCapacityLeavesNoBacklog);
	CPPUNIT_TEST(longQueueDecidesQuickly);
	CPPUNIT_TEST(anyOrderOfCallsKeepsTheQueueConsistent);
	CPPUNIT_TEST_SUITE_END();

public:
	void requestsAreAdmittedInOrder()
	{
		WaitQueue queue;
		queue.push(request(1, 2, 100), true);
		queue.push(request(2, 0, 300, "b"), true);
		queue.push(request(3, 0, 400, "a"), true);
		queue.push(request(4, 0, 200, "b"), true);
		queue.push(begun(5, 2, 250), true);
		CPPUNIT_ASSERT_EQUAL(3 * kTokens, queue.tokens()[0]);
		CPPUNIT_ASSERT((std::vector<uint64_t>{5, 3, 4, 2, 1}) == admitAll(queue));
		CPPUNIT_ASSERT_EQUAL(uint64_t(0), totalTokens(queue.tokens()));
	}

	/// A stream that misses its gap objective anyway must not delay requests that can still be in time.
	void lateStreamsGiveWay()
	{
		WaitQueue queue;
		queue.push(begun(1, 1, 100), true);
		queue.push(request(2, 0, 400), true);
		CPPUNIT_ASSERT_EQUAL(uint64_t(1), queue.next()->id);
		CPPUNIT_ASSERT(queue.expire(at(100)).empty());
		CPPUNIT_ASSERT_EQUAL(uint64_t(2), queue.next()->id);
		CPPUNIT_ASSERT_EQUAL(uint64_t(1), queue.nextBegun()->id); // if the other one lacks a lease
		CPPUNIT_ASSERT_EQUAL(uint64_t(2), queue.expire(at(400)).at(0).id);
		CPPUNIT_ASSERT_EQUAL(uint64_t(1), queue.expire(at(2000)).at(0).id);
	}

	/// A full queue refuses the least urgent request, never a started stream, and none for one that is no more urgent.
	void moreUrgentRequestsDisplaceOthers()
	{
		WaitQueue queue(3);
		queue.push(begun(1, 9, 100), true);
		queue.push(request(2, 2, 300), true);
		queue.push(request(3, 1, 300), true);
		CPPUNIT_ASSERT(!queue.push(request(4, 2, 300), true).isQueued);
		CPPUNIT_ASSERT_EQUAL(uint64_t(2), queue.push(request(5, 1, 300), true).displaced.at(0).id);
		CPPUNIT_ASSERT(queue.push(begun(6, 9, 100), true).isQueued);
		CPPUNIT_ASSERT(!queue.push(request(7, 0, 300), false).displaced.empty()); // no room by the forecast
		CPPUNIT_ASSERT(!queue.push(request(8, 0, 300), false).isQueued);
		CPPUNIT_ASSERT((std::vector<uint64_t>{1, 6, 7}) == admitAll(queue));
	}

	void passedOverRequestsKeepTheirPlace()
	{
		WaitQueue queue;
		queue.push(request(1, 0, 100), true);
		queue.push(request(2, 1, 100), true);
		queue.passOver(1);
		CPPUNIT_ASSERT_EQUAL(uint64_t(2), queue.next()->id);
		CPPUNIT_ASSERT_EQUAL(kTokens, queue.tokens()[0]);
		queue.restorePassedOver();
		CPPUNIT_ASSERT_EQUAL(uint64_t(1), queue.next()->id);
		queue.passOver(1);
		CPPUNIT_ASSERT(queue.remove(1));
		queue.restorePassedOver();
		CPPUNIT_ASSERT((std::vector<uint64_t>{2}) == admitAll(queue));
	}

	/// The capacity of 1.1 times the usual load loses a third, while the least urgent class sends 2.5 times its rate.
	void burstOfTheLeastUrgentLeavesSharesOrdered()
	{
		constexpr double kUsual = (143 + 79 + 49) * 1.1;
		constexpr double kTolerance = 0.02;
		constexpr double kLeftPerSecond = kUsual * 2 / 3;
		LoadPlay play(workload(2.5));
		play.run(7000, kLeftPerSecond);
		CPPUNIT_ASSERT(play.share(1) < play.share(0) + kTolerance);
		CPPUNIT_ASSERT(play.share(2) < play.share(1) + kTolerance);
		const double least = kLeftPerSecond * WaitQueue::kUrgencyFloor / (49 * 2.5);
		CPPUNIT_ASSERT(least * 0.95 < play.share(2));
		CPPUNIT_ASSERT(0.95 < play.share(0));
	}

	/// One of 24 customers sends as much as all others together, twice the capacity in total. Each other one sends
	/// slightly less than an equal share.
	void largeCustomerDoesNotTakeTheSharesOfOthers()
	{
		constexpr double kPerSecond = 400;
		constexpr int kOthers = 23;
		std::vector<Flow> flows{Flow{"large", 1, kPerSecond / 2}};
		for (int other = 0; other < kOthers; ++other)
		{
			flows.push_back(Flow{std::to_string(other), 1, kPerSecond / 2 / kOthers});
		}
		LoadPlay play(flows);
		play.run(20000, kPerSecond / 2);
		uint64_t sent = 0;
		uint64_t served = 0;
		for (int other = 1; other <= kOthers; ++other)
		{
			sent += play.flows[other].sent;
			served += play.flows[other].served;
			CPPUNIT_ASSERT(0.75 < play.flows[other].share());
		}
		CPPUNIT_ASSERT(0.9 * static_cast<double>(sent) < static_cast<double>(served));
		CPPUNIT_ASSERT(0.02 < play.flows[0].share()); // and it is not starved for what it asks
	}

	/// Requests of the outage must not delay those that arrive once capacity has returned.
	void lossOfAllCapacityLeavesNoBacklog()
	{
		constexpr double kPerSecond = 300;
		LoadPlay play(workload(1));
		play.run(2000, kPerSecond);
		play.run(2000, 0);
		CPPUNIT_ASSERT(play.queue.size() <= WaitQueue::kMaxRequests);
		play.run(1000, kPerSecond);
		for (Flow& flow : play.flows)
		{
			flow.sent = 0;
			flow.served = 0;
		}
		play.run(3000, kPerSecond);
		CPPUNIT_ASSERT(0.95 < play.share(0));
		CPPUNIT_ASSERT(0.95 < play.share(1));
		CPPUNIT_ASSERT(0.9 < play.share(2));
	}

	void longQueueDecidesQuickly()
	{
		constexpr uint64_t kQueued = 1000;
		constexpr uint64_t kDecisions = 10000;
		constexpr int64_t kMaxMicros = 20;
		constexpr uint64_t kCustomers = 24;
		WaitQueue queue(kQueued);
		const auto push = [&queue](uint64_t _id)
		{
			queue.push(request(_id, _id % 3, static_cast<int64_t>(_id), std::to_string(_id % kCustomers)), true);
		};
		uint64_t id = 0;
		while (queue.size() < kQueued)
		{
			push(++id);
		}
		const auto from = std::chrono::steady_clock::now();
		for (uint64_t decision = 0; decision < kDecisions; ++decision)
		{
			push(++id);
			queue.expire(at(static_cast<int64_t>(decision / 4)));
			queue.admit(queue.next()->id);
		}
		const auto taken = std::chrono::steady_clock::now() - from;
		CPPUNIT_ASSERT(taken < std::chrono::microseconds(kDecisions * kMaxMicros));
	}

	/// Random pushes, admissions, removals and expiries: each queued request leaves exactly once, the bound holds, the
	/// tokens are those of the queued requests, and no request is left after its time.
	void anyOrderOfCallsKeepsTheQueueConsistent()
	{
		CPPUNIT_ASSERT(rc::check("wait queue", playRandomly));
	}

private:
	static void playRandomly()
	{
		constexpr std::size_t kMax = 6;
		WaitQueue queue(kMax);
		std::set<uint64_t> queued;
		int64_t now = 0;
		for (uint64_t id = 1; id < 60; ++id)
		{
			const auto urgency = *rc::gen::inRange<uint32_t>(0, 4);
			PendingRequest made = request(id, urgency, now + *rc::gen::inRange<int>(1, 60),
			                              std::string(1, static_cast<char>('a' + id % 3)));
			made.hasBegun = 0 == *rc::gen::inRange<int>(0, 4);
			made.expiresAt = made.hasBegun ? at(now + 50) : made.startBy;
			const WaitQueue::PushOutcome outcome = queue.push(made, 0 != *rc::gen::inRange<int>(0, 4));
			for (const PendingRequest& displaced : outcome.displaced)
			{
				RC_ASSERT(!displaced.hasBegun && (made.hasBegun || made.urgency < displaced.urgency));
				RC_ASSERT(1U == queued.erase(displaced.id));
			}
			if (outcome.isQueued)
			{
				queued.insert(id);
			}
			if (0 == *rc::gen::inRange<int>(0, 3) && nullptr != queue.next())
			{
				queue.passOver(queue.next()->id);
			}
			now += *rc::gen::inRange<int>(0, 20);
			for (const PendingRequest& expired : queue.expire(at(now)))
			{
				RC_ASSERT(!(at(now) < expired.expiresAt) && 1U == queued.erase(expired.id));
			}
			const uint64_t removed = *rc::gen::inRange<uint64_t>(1, id + 1);
			RC_ASSERT(queue.remove(removed) == (1U == queued.erase(removed)));
			if (nullptr != queue.next())
			{
				const PendingRequest* const started = queue.nextBegun();
				const uint64_t admitted = nullptr != started && 0 == id % 2 ? started->id : queue.next()->id;
				RC_ASSERT(1U == queued.erase(admitted));
				queue.admit(admitted);
			}
			queue.restorePassedOver();
			RC_ASSERT(queued.size() == queue.size() && queue.size() <= kMax);
			RC_ASSERT(queued.size() * kTokens == totalTokens(queue.tokens()));
			RC_ASSERT(queued.empty() == (nullptr == queue.next()));
		}
		RC_ASSERT(queued.size() == admitAll(queue).size());
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(WaitQueueTest);

} // namespace sedgecart

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <aio/bodymemory.h>

#include <boost/asio/io_context.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <memory>
#include <vector>

namespace sedgecart
{

namespace
{

constexpr uint64_t kLimit = 100;

class TestWaiter : public BodyWaiterI
{
public:
	bool waitsForMemory() const override
	{
		return !hasGivenUp && !lease;
	}
	void onBodyMemory(std::shared_ptr<BodyLease> _lease) override
	{
		lease = std::move(_lease);
	}

	bool hasGivenUp = false;
	std::shared_ptr<BodyLease> lease;
};

} // namespace

/// Nothing bounded the memory of bodies: a burst of uploads ended nodes, with all requests on them.
class BodyMemoryTest : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(BodyMemoryTest);
	CPPUNIT_TEST(whoComesFirstIsServedFirst);
	CPPUNIT_TEST(whoGaveUpIsPassedOver);
	CPPUNIT_TEST(tooLongAWaitIsRefusedAtOnce);
	CPPUNIT_TEST(aBodyOfUnknownLengthDoesNotWait);
	CPPUNIT_TEST(aBodyAboveTheLimitIsReadAlone);
	CPPUNIT_TEST(theLimitHoldsAndNobodyWaitsForNothing);
	CPPUNIT_TEST_SUITE_END();

public:
	void whoComesFirstIsServedFirst()
	{
		std::shared_ptr<BodyLease> held;
		CPPUNIT_ASSERT(BodyMemory::Admission::Read == reserve(90, nullptr, held));
		const auto large = std::make_shared<TestWaiter>();
		const auto small = std::make_shared<TestWaiter>();
		std::shared_ptr<BodyLease> none;
		CPPUNIT_ASSERT(BodyMemory::Admission::Wait == reserve(20, large, none));
		CPPUNIT_ASSERT(BodyMemory::Admission::Wait == reserve(5, small, none)); // it would fit, but is not the first
		held.reset();
		CPPUNIT_ASSERT(!large->lease); // not within the call that gives back
		loop_.run();
		CPPUNIT_ASSERT(large->lease && small->lease);
		CPPUNIT_ASSERT_EQUAL(uint64_t(25), memory_.reserved());
	}

	void whoGaveUpIsPassedOver()
	{
		std::shared_ptr<BodyLease> held;
		reserve(100, nullptr, held);
		auto gone = std::make_shared<TestWaiter>();
		const auto givenUp = std::make_shared<TestWaiter>();
		const auto last = std::make_shared<TestWaiter>();
		std::shared_ptr<BodyLease> none;
		reserve(10, gone, none);
		reserve(10, givenUp, none);
		reserve(5, last, none);
		gone.reset();
		givenUp->hasGivenUp = true;
		held.reset();
		loop_.run();
		CPPUNIT_ASSERT(last->lease && !givenUp->lease);
		CPPUNIT_ASSERT_EQUAL(uint64_t(5), memory_.reserved());
	}

	void tooLongAWaitIsRefusedAtOnce()
	{
		std::shared_ptr<BodyLease> held;
		reserve(100, nullptr, held);
		const auto waiter = std::make_shared<TestWaiter>();
		std::shared_ptr<BodyLease> none;
		CPPUNIT_ASSERT(BodyMemory::Admission::Wait == reserve(20, waiter, none));
		CPPUNIT_ASSERT(BodyMemory::Admission::Refuse == reserve(20, waiter, none));
	}

	void aBodyOfUnknownLengthDoesNotWait()
	{
		std::shared_ptr<BodyLease> lease;
		CPPUNIT_ASSERT(memory_.extendTo(60, lease));
		CPPUNIT_ASSERT(memory_.extendTo(100, lease));
		CPPUNIT_ASSERT(!memory_.extendTo(101, lease));
		CPPUNIT_ASSERT_EQUAL(uint64_t(100), lease->bytes());
		lease.reset();
		CPPUNIT_ASSERT_EQUAL(uint64_t(0), memory_.reserved());
	}

	void aBodyAboveTheLimitIsReadAlone()
	{
		std::shared_ptr<BodyLease> lease;
		CPPUNIT_ASSERT(BodyMemory::Admission::Read == reserve(500, nullptr, lease));
		std::shared_ptr<BodyLease> other;
		CPPUNIT_ASSERT(!memory_.extendTo(1, other));
	}

	void theLimitHoldsAndNobodyWaitsForNothing()
	{
		CPPUNIT_ASSERT(rc::check(
		    "the limit holds",
		    []
		    {
			    boost::asio::io_context loop;
			    BodyMemory memory(loop, kLimit);
			    std::vector<std::shared_ptr<TestWaiter>> waiters;
			    const auto steps = *rc::gen::container<std::vector<uint64_t>>(rc::gen::inRange<uint64_t>(0, 80));
			    for (const uint64_t step : steps)
			    {
				    const bool isEnd = step < 30 && !waiters.empty();
				    if (isEnd)
				    {
					    waiters.erase(waiters.begin() + static_cast<std::ptrdiff_t>(step % waiters.size()));
				    }
				    else
				    {
					    auto waiter = std::make_shared<TestWaiter>();
					    memory.reserve(step + 1, waiter, waiter->lease);
					    waiters.push_back(std::move(waiter));
				    }
				    loop.restart();
				    loop.run();
				    RC_ASSERT(memory.reserved() <= kLimit);
			    }
			    waiters.clear();
			    RC_ASSERT(0U == memory.reserved());
		    }));
	}

private:
	BodyMemory::Admission::Enum reserve(uint64_t _bytes, const std::shared_ptr<TestWaiter>& _waiter,
	                                    std::shared_ptr<BodyLease>& _lease)
	{
		return memory_.reserve(_bytes, _waiter, _lease);
	}

	boost::asio::io_context loop_;
	BodyMemory memory_{loop_, kLimit};
};

CPPUNIT_TEST_SUITE_REGISTRATION(BodyMemoryTest);

} // namespace sedgecart

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "../src/waitqueue_p.h"

#include <base/steadyclock.h>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

namespace sedgecart
{

class WaitQueueTest : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(WaitQueueTest);
	CPPUNIT_TEST(allAreReleasedInTheirOrder);
	CPPUNIT_TEST(whatHasWaitedLongEnoughIsReleased);
	CPPUNIT_TEST(whatMayGoIsReleasedInTurn);
	CPPUNIT_TEST(itIsBounded);
	CPPUNIT_TEST_SUITE_END();

public:
	void allAreReleasedInTheirOrder()
	{
		CPPUNIT_ASSERT(queue_.hold(request("a", far())));
		CPPUNIT_ASSERT(queue_.hold(request("b", far())));
		queue_.releaseAll();
		CPPUNIT_ASSERT((std::vector<std::string>{"a", "b"}) == released_);
		CPPUNIT_ASSERT_EQUAL(std::size_t(0), queue_.size());
		loop_.run(); // no timer is left that would release anything again
		CPPUNIT_ASSERT_EQUAL(std::size_t(2), released_.size());
	}

	void whatHasWaitedLongEnoughIsReleased()
	{
		CPPUNIT_ASSERT(queue_.hold(request("late", far())));
		CPPUNIT_ASSERT(queue_.hold(request("soon", clock_.now())));
		while (released_.empty())
		{
			loop_.run_one();
		}
		CPPUNIT_ASSERT((std::vector<std::string>{"soon"}) == released_);
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), queue_.size());
	}

	/// One goes, and the next only when it may.
	void whatMayGoIsReleasedInTurn()
	{
		CPPUNIT_ASSERT(queue_.hold(request("a", far())));
		CPPUNIT_ASSERT(queue_.hold(request("b", far())));
		CPPUNIT_ASSERT(queue_.hold(request("c", far())));
		mayGo_ = 2;
		while (released_.size() < 2)
		{
			loop_.run_one();
		}
		loop_.run_one();
		CPPUNIT_ASSERT((std::vector<std::string>{"a", "b"}) == released_);
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), queue_.size());
	}

	void itIsBounded()
	{
		std::size_t held = 0;
		while (held < 100000 && queue_.hold(request("r", far())))
		{
			++held;
		}
		CPPUNIT_ASSERT(held < 100000);
		queue_.releaseAll();
		CPPUNIT_ASSERT_EQUAL(held, released_.size());
	}

private:
	Time far() const
	{
		return clock_.now() + Duration::fromMillis(3600000);
	}

	HeldRequest request(const char* _target, Time _until) const
	{
		HeldRequest held;
		held.request.head.target = _target;
		held.arrivedAt = clock_.now();
		held.until = _until;
		return held;
	}

	boost::asio::io_context loop_;
	SteadyClock clock_;
	std::vector<std::string> released_;
	uint32_t mayGo_ = 0; //!< Requests that may go.
	WaitQueue queue_{loop_, clock_,
	                 [this]
	                 {
		                 return 0 < mayGo_;
	                 },
	                 [this](HeldRequest&& _request)
	                 {
		                 mayGo_ -= std::min(1U, mayGo_);
		                 released_.push_back(_request.request.head.target);
	                 }};
};

CPPUNIT_TEST_SUITE_REGISTRATION(WaitQueueTest);

} // namespace sedgecart

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "../src/startqueue_p.h"

#include <base/steadyclock.h>

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

namespace sedgecart
{

class StartQueueTest : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(StartQueueTest);
	CPPUNIT_TEST(allAreReleasedInTheirOrder);
	CPPUNIT_TEST(whatHasWaitedLongEnoughIsReleased);
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
	StartQueue queue_{loop_, clock_,
	                  [this](HeldRequest&& _request)
	                  {
		                  released_.push_back(_request.request.head.target);
	                  }};
};

CPPUNIT_TEST_SUITE_REGISTRATION(StartQueueTest);

} // namespace sedgecart

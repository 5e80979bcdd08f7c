// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <core/stopwindow.h>

#include <cppunit/extensions/HelperMacros.h>

namespace sedgecart
{

class StopWindowTest : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(StopWindowTest);
	CPPUNIT_TEST(admitsRequestsThatEndBeforeTheKill);
	CPPUNIT_TEST(callersArriveUntilTheBalancerReacts);
	CPPUNIT_TEST(drainLeavesTimeForTheLastAnswers);
	CPPUNIT_TEST_SUITE_END();

public:
	/// 350 ms are reserved for the process to exit.
	void admitsRequestsThatEndBeforeTheKill()
	{
		const StopWindow window(at(1000), Duration::fromMillis(8000));
		CPPUNIT_ASSERT_EQUAL(int64_t(8650), window.deadline().micros / 1000);
		CPPUNIT_ASSERT(window.admits(Duration::fromMillis(7649), at(1000)));
		CPPUNIT_ASSERT(!window.admits(Duration::fromMillis(7650), at(1000)));
		CPPUNIT_ASSERT(!window.admits(Duration::fromMillis(7649), at(1001)));
		CPPUNIT_ASSERT(!window.admits(Duration{}, at(9000)));
	}

	void callersArriveUntilTheBalancerReacts()
	{
		const StopWindow window(at(1000), Duration::fromMillis(8000));
		CPPUNIT_ASSERT(window.callersMayArrive(at(3799)));
		CPPUNIT_ASSERT(!window.callersMayArrive(at(3800)));
	}

	void drainLeavesTimeForTheLastAnswers()
	{
		const StopWindow window(at(1000), Duration::fromMillis(8000));
		CPPUNIT_ASSERT_EQUAL(int64_t(500), (window.deadline() - window.drainAt()).millis());
	}

private:
	static Time at(int64_t _millis)
	{
		return Time{_millis * 1000};
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(StopWindowTest);

} // namespace sedgecart

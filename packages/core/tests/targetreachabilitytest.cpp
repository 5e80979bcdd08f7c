// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <core/targetreachability.h>

#include <cppunit/extensions/HelperMacros.h>

namespace sedgecart
{

namespace
{

constexpr Time kStart{1000000000};
constexpr Duration kStep = Duration::fromMillis(10);

TargetIncarnation target(const char* _name)
{
	return TargetIncarnation{InstanceId{_name}, StartTime{}};
}

} // namespace

class TargetReachabilityTest : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(TargetReachabilityTest);
	CPPUNIT_TEST(oneTargetIsAtFaultItself);
	CPPUNIT_TEST(severalTargetsInSuccessionCutOff);
	CPPUNIT_TEST(aConnectionBetweenFailuresShowsTheLink);
	CPPUNIT_TEST(oldFailuresDoNotCount);
	CPPUNIT_TEST(oneConnectionDoesNotEndACutOff);
	CPPUNIT_TEST(aSmallFleetIsCutOffWithAllItsTargets);
	CPPUNIT_TEST_SUITE_END();

public:
	void setUp() override
	{
		reachability_.setFleetSize(10);
	}

	void oneTargetIsAtFaultItself()
	{
		for (int attempt = 0; attempt < 10; ++attempt)
		{
			fail("a");
			fail("b");
		}
		CPPUNIT_ASSERT(!reachability_.isCutOff());
	}

	void severalTargetsInSuccessionCutOff()
	{
		CPPUNIT_ASSERT(!fail("a"));
		CPPUNIT_ASSERT(!fail("b"));
		CPPUNIT_ASSERT(fail("c"));
		CPPUNIT_ASSERT(reachability_.isCutOff());
		CPPUNIT_ASSERT(!fail("d")); // no change any more
		CPPUNIT_ASSERT(reachability_.isUnreachable(target("d")));
		CPPUNIT_ASSERT(!reachability_.isUnreachable(target("e")));
	}

	void aConnectionBetweenFailuresShowsTheLink()
	{
		fail("a");
		fail("b");
		connect("d");
		fail("c");
		fail("a");
		CPPUNIT_ASSERT(!reachability_.isCutOff());
	}

	void oldFailuresDoNotCount()
	{
		fail("a");
		fail("b");
		now_ = now_ + TargetReachability::kEvidencePeriod + kStep;
		fail("c");
		CPPUNIT_ASSERT(!reachability_.isCutOff());
	}

	/// A link that passes one connection in a while would be tried with callers' requests again and again.
	void oneConnectionDoesNotEndACutOff()
	{
		cutOff();
		connect("a");
		connect("a");
		CPPUNIT_ASSERT(reachability_.isCutOff());
		connect("b");
		fail("b");
		connect("c");
		CPPUNIT_ASSERT(reachability_.isCutOff());
		CPPUNIT_ASSERT(connect("b"));
		CPPUNIT_ASSERT(!reachability_.isCutOff());
		fail("a"); // counting begins anew
		CPPUNIT_ASSERT(!reachability_.isCutOff());
	}

	void aSmallFleetIsCutOffWithAllItsTargets()
	{
		reachability_.setFleetSize(2);
		fail("a");
		CPPUNIT_ASSERT(!reachability_.isCutOff());
		fail("b");
		CPPUNIT_ASSERT(reachability_.isCutOff());
		connect("b");
		connect("a");
		CPPUNIT_ASSERT(!reachability_.isCutOff());
	}

private:
	bool fail(const char* _target)
	{
		now_ = now_ + kStep;
		return reachability_.onUnreachable(target(_target), now_);
	}

	bool connect(const char* _target)
	{
		now_ = now_ + kStep;
		return reachability_.onConnected(target(_target), now_);
	}

	void cutOff()
	{
		fail("a");
		fail("b");
		fail("c");
		CPPUNIT_ASSERT(reachability_.isCutOff());
	}

	Time now_ = kStart;
	TargetReachability reachability_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetReachabilityTest);

} // namespace sedgecart

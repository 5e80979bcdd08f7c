// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <core/linkuse.h>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <vector>

namespace sedgecart
{

class LinkUseTest : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(LinkUseTest);
	CPPUNIT_TEST(ownAndOthersAddUp);
	CPPUNIT_TEST(countsTheWindow);
	CPPUNIT_TEST_SUITE_END();

public:
	void ownAndOthersAddUp()
	{
		LinkUse use;
		CPPUNIT_ASSERT_EQUAL(0.0, use.taken(at(5000)));
		use.add(Duration::fromMillis(300), at(5000));
		use.setOthers(Duration::fromMillis(450));
		CPPUNIT_ASSERT_DOUBLES_EQUAL(0.75, use.taken(at(5100)), 1e-9);
		CPPUNIT_ASSERT_DOUBLES_EQUAL(0.45, use.taken(at(6200)), 1e-9);
	}

	/// Whatever was added when, what counts is what came within the window, give or take a slice.
	void countsTheWindow()
	{
		const bool holds = rc::check(
		    []
		    {
			    LinkUse use;
			    std::vector<int64_t> added;
			    int64_t millis = 3000;
			    const int turns = *rc::gen::inRange(1, 60);
			    for (int turn = 0; turn < turns; ++turn)
			    {
				    millis += *rc::gen::inRange(0, 400);
				    use.add(Duration::fromMillis(1), at(millis));
				    added.push_back(millis);
			    }
			    int64_t surely = 0;
			    int64_t atMost = 0;
			    for (const int64_t when : added)
			    {
				    surely += millis - when < LinkUse::kWindow.millis() * 7 / 8 ? 1 : 0;
				    atMost += millis - when <= LinkUse::kWindow.millis() ? 1 : 0;
			    }
			    RC_ASSERT(surely <= use.own(at(millis)).millis());
			    RC_ASSERT(use.own(at(millis)).millis() <= atMost);
		    });
		CPPUNIT_ASSERT(holds);
	}

private:
	static Time at(int64_t _millis)
	{
		return Time{_millis * 1000};
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(LinkUseTest);

} // namespace sedgecart

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <core/streamend.h>
#include <core/streampace.h>

#include <cppunit/extensions/HelperMacros.h>

namespace sedgecart
{

class StreamEndTest : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(StreamEndTest);
	CPPUNIT_TEST(theEstimateFollowsThePace);
	CPPUNIT_TEST(aStreamPastItsHintGoesOn);
	CPPUNIT_TEST(tokensPerEventAreObserved);
	CPPUNIT_TEST_SUITE_END();

public:
	void theEstimateFollowsThePace()
	{
		StreamEnd stream(pace_, 200, 0, at(0));
		CPPUNIT_ASSERT_EQUAL(int64_t(600 + 200 * 14), (stream.endsAt() - at(0)).millis());
		int64_t now = 1000;
		for (uint64_t event = 1; event <= 160; ++event, now += 30)
		{
			CPPUNIT_ASSERT_EQUAL(0 == event % 16, stream.onEvents(event, at(now)));
		}
		const int64_t left = (stream.endsAt() - at(now)).millis();
		CPPUNIT_ASSERT(40 * 26 < left && left < 40 * 30);
	}

	/// Guards against streams that count as free though they still run.
	void aStreamPastItsHintGoesOn()
	{
		StreamEnd stream(pace_, 40, 0, at(0));
		stream.onEvents(40, at(600));
		CPPUNIT_ASSERT_EQUAL(int64_t(10 * 14), (stream.endsAt() - at(600)).millis());
		CPPUNIT_ASSERT(!stream.onEvents(41, at(700)));
		CPPUNIT_ASSERT(stream.onEvents(42, at(740))); // the estimate has passed
		CPPUNIT_ASSERT(at(740) < stream.endsAt());
	}

	/// Guards against estimates that are several times too late where an event holds several tokens.
	void tokensPerEventAreObserved()
	{
		for (int stream = 0; stream < 100; ++stream)
		{
			pace_.recordEnd(50, 200);
		}
		CPPUNIT_ASSERT(45 <= pace_.expectedEvents(200) && pace_.expectedEvents(200) <= 55);
	}

private:
	static Time at(int64_t _millis)
	{
		return Time{_millis * 1000};
	}

	StreamPace pace_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(StreamEndTest);

} // namespace sedgecart

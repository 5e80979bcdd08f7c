// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <core/serviceresponsetimes.h>

#include <cppunit/extensions/HelperMacros.h>

namespace sedgecart
{

class ServiceResponseTimesTest : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(ServiceResponseTimesTest);
	CPPUNIT_TEST(aBusyFastServiceHidesNoSlowOne);
	CPPUNIT_TEST(theLongestEstimateOfARouteCounts);
	CPPUNIT_TEST(servicesThatComeAndGoTakeNoMoreMemory);
	CPPUNIT_TEST_SUITE_END();

public:
	/// With one pool for all services, calls of 3 s were admitted as calls of 15 ms while a fast service was busy.
	void aBusyFastServiceHidesNoSlowOne()
	{
		ServiceResponseTimes times;
		recordCalls(times, "slow", 20, kSlow);
		recordCalls(times, "fast", 2000, kFast);
		recordStream(times, "slow", Duration::fromMillis(40));
		for (int stream = 0; stream < 2000; ++stream)
		{
			recordStream(times, "fast", Duration::fromMillis(5));
		}
		for (const EstimateBound::Enum bound : {EstimateBound::Typical, EstimateBound::Cautious})
		{
			CPPUNIT_ASSERT(!(times.estimate({{"slow"}}, RequestKind::Idempotent, 0, bound).total < kSlow));
			CPPUNIT_ASSERT_EQUAL(kFast.micros,
			                     times.estimate({{"fast"}}, RequestKind::Idempotent, 0, bound).total.micros);
			CPPUNIT_ASSERT_EQUAL(int64_t(40), times.estimate({{"slow"}}, RequestKind::Stream, 100, bound).gap.millis());
			CPPUNIT_ASSERT_EQUAL(int64_t(5), times.estimate({{"fast"}}, RequestKind::Stream, 100, bound).gap.millis());
		}
	}

	/// The service of a request is drawn after it was admitted.
	void theLongestEstimateOfARouteCounts()
	{
		ServiceResponseTimes times;
		recordCalls(times, "slow", 100, kSlow);
		recordCalls(times, "fast", 100, kFast);
		CPPUNIT_ASSERT_EQUAL(kSlow.micros, callTime(times, {{"fast", 9}, {"slow", 1}}));
		CPPUNIT_ASSERT_EQUAL(kSlow.micros, callTime(times, {{"slow", 1}, {"fast", 9}}));
		CPPUNIT_ASSERT_EQUAL(kFast.micros, callTime(times, {{"fast", 9}, {"slow", 0}}));
		CPPUNIT_ASSERT_EQUAL(callTime(ServiceResponseTimes(), {{"fast"}}),
		                     callTime(times, {{"fast", 9}, {"unseen", 1}}));
	}

	void servicesThatComeAndGoTakeNoMoreMemory()
	{
		ServiceResponseTimes times;
		for (std::size_t index = 0; index < 3 * ServiceResponseTimes::kMaxServices; ++index)
		{
			recordCalls(times, "kept", 40, kSlow);
			recordCalls(times, "service" + std::to_string(index), 40, kSlow);
		}
		CPPUNIT_ASSERT_EQUAL(+ServiceResponseTimes::kMaxServices, times.size());
		CPPUNIT_ASSERT_EQUAL(kSlow.micros, callTime(times, {{"kept"}}));
		CPPUNIT_ASSERT(callTime(times, {{"service0"}}) < kSlow.micros);
	}

private:
	static constexpr Duration kFast = Duration::fromMillis(15);
	static constexpr Duration kSlow = Duration::fromMillis(3000);

	static void recordCalls(ServiceResponseTimes& _times, const std::string& _service, int _calls, Duration _duration)
	{
		for (int call = 0; call < _calls; ++call)
		{
			_times.of(_service).recordCall(_duration);
		}
	}

	static void recordStream(ServiceResponseTimes& _times, const std::string& _service, Duration _gap)
	{
		constexpr int64_t kGaps = 100;
		StreamInterval interval;
		_times.of(_service).recordEvents(interval, 1, Time{1});
		const Time end{1 + kGaps * _gap.micros};
		_times.of(_service).recordEvents(interval, 1 + kGaps, end);
		_times.of(_service).recordEnd(interval, 1 + kGaps, 0, end);
	}

	static int64_t callTime(const ServiceResponseTimes& _times, const std::vector<WeightedService>& _services)
	{
		return _times.estimate(_services, RequestKind::Idempotent, 0, EstimateBound::Typical).total.micros;
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServiceResponseTimesTest);

} // namespace sedgecart

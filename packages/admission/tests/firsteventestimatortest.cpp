// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <admission/firsteventestimator.h>

#include <cppunit/extensions/HelperMacros.h>

namespace sedgecart
{

class FirstEventEstimatorTest : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(FirstEventEstimatorTest);
	CPPUNIT_TEST(followsObservationsAndForgetsThem);
	CPPUNIT_TEST_SUITE_END();

public:
	/// Targets that were slow during an overload must not keep requests from waiting once it is over.
	void followsObservationsAndForgetsThem()
	{
		constexpr uint64_t kPrompt = 500;
		FirstEventEstimator estimator;
		estimator.setPrefillRate(10000);
		CPPUNIT_ASSERT_EQUAL(int64_t(70), estimator.estimate(kPrompt, Time{0}).millis());
		estimator.onFirstEvent(kPrompt, Duration::fromMillis(140), Time{0});
		CPPUNIT_ASSERT_EQUAL(int64_t(140), estimator.estimate(kPrompt, Time{0}).millis());
		CPPUNIT_ASSERT_EQUAL(int64_t(240), estimator.estimate(2 * kPrompt, Time{0}).millis());
		for (int request = 0; request < 50; ++request)
		{
			estimator.onFirstEvent(kPrompt, Duration::fromMillis(70), Time{0});
		}
		CPPUNIT_ASSERT(estimator.estimate(kPrompt, Time{0}).millis() <= 71);
		estimator.onFirstEvent(kPrompt, Duration::fromMillis(7000), Time{0});
		CPPUNIT_ASSERT(900 < estimator.estimate(kPrompt, Time{0}).millis());
		CPPUNIT_ASSERT_EQUAL(int64_t(70),
		                     estimator.estimate(kPrompt, Time{Duration::fromMillis(5000).micros}).millis());
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(FirstEventEstimatorTest);

} // namespace sedgecart

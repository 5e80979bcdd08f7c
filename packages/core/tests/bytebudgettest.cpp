// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <core/bytebudget.h>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace sedgecart
{

class ByteBudgetTest : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(ByteBudgetTest);
	CPPUNIT_TEST(largeMessageIsPaidBack);
	CPPUNIT_TEST(neverOverTheRate);
	CPPUNIT_TEST_SUITE_END();

public:
	void largeMessageIsPaidBack()
	{
		ByteBudget budget(1000);
		CPPUNIT_ASSERT(budget.take(1100, at(0)));
		CPPUNIT_ASSERT(!budget.take(1, at(900)));
		CPPUNIT_ASSERT(budget.take(1, at(1001)));
	}

	/// Whatever is asked and when, no more goes out than the rate, what was saved and one message.
	void neverOverTheRate()
	{
		const bool holds = rc::check(
		    []
		    {
			    constexpr double kRate = 50000;
			    constexpr int kLargest = 20000;
			    ByteBudget budget(kRate);
			    int64_t millis = 0;
			    double sent = 0;
			    const int takes = *rc::gen::inRange(1, 200);
			    for (int turn = 0; turn < takes; ++turn)
			    {
				    millis += *rc::gen::inRange(0, 300);
				    const int bytes = *rc::gen::inRange(1, kLargest);
				    sent += budget.take(static_cast<std::size_t>(bytes), at(millis)) ? bytes : 0;
			    }
			    const double spans = static_cast<double>(millis + ByteBudget::kSaved.millis()) / 1000;
			    RC_ASSERT(sent <= kRate * spans + kLargest);
		    });
		CPPUNIT_ASSERT(holds);
	}

private:
	static Time at(int64_t _millis)
	{
		return Time{1000000 + _millis * 1000};
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(ByteBudgetTest);

} // namespace sedgecart

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <fleet/targetlog.h>

#include <cppunit/extensions/HelperMacros.h>

namespace sedgecart
{

/// Each node of a fleet that started wrote a line for each target: 1,000 nodes wrote three million.
class TargetLogTest : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(TargetLogTest);
	CPPUNIT_TEST(fewChangesAreAllLogged);
	CPPUNIT_TEST(manyChangesAreCounted);
	CPPUNIT_TEST_SUITE_END();

public:
	void fewChangesAreAllLogged()
	{
		for (uint32_t change = 0; change < TargetLog::kMaxLines; ++change)
		{
			log_.onAdded(RunnerRecord{});
		}
		CPPUNIT_ASSERT_EQUAL(0U, log_.finish());
	}

	void manyChangesAreCounted()
	{
		for (uint32_t change = 0; change < 3000; ++change)
		{
			log_.onChanged(RunnerRecord{});
		}
		log_.onRemoved(InstanceId{"t1"});
		CPPUNIT_ASSERT_EQUAL(3001 - TargetLog::kMaxLines, log_.finish());
		log_.onRemoved(InstanceId{"t1"});
		CPPUNIT_ASSERT_EQUAL(0U, log_.finish()); // the next read has lines of its own
	}

private:
	TargetLog log_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetLogTest);

} // namespace sedgecart

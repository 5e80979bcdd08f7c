// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <base/runner.h>
#include <core/recordorder.h>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <vector>

namespace sedgecart
{

class RecordOrderTest : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(RecordOrderTest);
	CPPUNIT_TEST(theNewestRecordStaysWhateverTheOrder);
	CPPUNIT_TEST(recordsWithoutASequenceAreInOrder);
	CPPUNIT_TEST(eachEarlierStartIsKnownWhileItsWritesMayBePending);
	CPPUNIT_TEST(aTargetThatReturnsAtAnotherAddressCountsAnew);
	CPPUNIT_TEST(startsThatCannotBeToldApart);
	CPPUNIT_TEST(theNewestStartStaysWhateverTheOrder);
	CPPUNIT_TEST(anEarlierStartThatKeepsWritingRuns);
	CPPUNIT_TEST(aWrongSequenceBlocksNoTargetForLong);
	CPPUNIT_TEST(targetsWithoutRecordsAreForgotten);
	CPPUNIT_TEST_SUITE_END();

public:
	/// Late records in any order must not replace a later one.
	void theNewestRecordStaysWhateverTheOrder()
	{
		CPPUNIT_ASSERT(rc::check("the newest record stays",
		                         []
		                         {
			                         RecordOrder order;
			                         uint64_t newest = 0;
			                         const auto sequences =
			                             *rc::gen::container<std::vector<uint64_t>>(rc::gen::inRange<uint64_t>(1, 40));
			                         for (const uint64_t sequence : sequences)
			                         {
				                         const bool isOlder = sequence < newest;
				                         RC_ASSERT(isOlder == order.isOutdated(record(0, sequence), kStart));
				                         newest = std::max(newest, sequence);
			                         }
		                         }));
	}

	void recordsWithoutASequenceAreInOrder()
	{
		CPPUNIT_ASSERT(!order_.isOutdated(record(0, 7), kStart));
		CPPUNIT_ASSERT(!order_.isOutdated(record(0, 0), kStart));
		CPPUNIT_ASSERT(order_.isOutdated(record(0, 6), kStart));
	}

	/// A target that was restarted several times within seconds has writes of each start pending.
	void eachEarlierStartIsKnownWhileItsWritesMayBePending()
	{
		CPPUNIT_ASSERT(!order_.isOutdated(record(100, 9), kStart));
		CPPUNIT_ASSERT(!order_.isOutdated(record(300, 1), kStart));
		CPPUNIT_ASSERT(!order_.isOutdated(record(200, 1), kStart)); // its clock was set back
		CPPUNIT_ASSERT(order_.isOutdated(record(100, 8), kStart));
		CPPUNIT_ASSERT(order_.isOutdated(record(300, 2), kStart));
		CPPUNIT_ASSERT(!order_.isOutdated(record(300, 1), kStart + RecordOrder::kPendingWriteLimit));
	}

	/// It reports no start time, and its smaller sequence is no sign of a late record.
	void aTargetThatReturnsAtAnotherAddressCountsAnew()
	{
		CPPUNIT_ASSERT(!order_.isOutdated(record(0, 600), kStart));
		CPPUNIT_ASSERT(!order_.isOutdated(record(0, 1, "b:1"), kStart));
		CPPUNIT_ASSERT(order_.isOutdated(record(0, 599), kStart));
		CPPUNIT_ASSERT(order_.isOutdated(record(0, 601), kStart)); // the last one of the earlier start
		CPPUNIT_ASSERT(!order_.isOutdated(record(0, 2, "b:1"), kStart));
	}

	void startsThatCannotBeToldApart()
	{
		CPPUNIT_ASSERT(!order_.isOutdated(record(0, 600), kStart));
		CPPUNIT_ASSERT(order_.isOutdated(record(0, 1), kStart + (RecordOrder::kPendingWriteLimit - Duration{1})));
		CPPUNIT_ASSERT(!order_.isOutdated(record(0, 2), kStart + RecordOrder::kPendingWriteLimit));
	}

	void theNewestStartStaysWhateverTheOrder()
	{
		CPPUNIT_ASSERT(rc::check(
		    "the newest start stays",
		    []
		    {
			    RecordOrder order;
			    order.isOutdated(record(100, 50), kStart);
			    order.isOutdated(record(200, 1), kStart);
			    uint64_t newest = 1;
			    const auto sequences = *rc::gen::container<std::vector<uint64_t>>(rc::gen::inRange<uint64_t>(1, 101));
			    for (const uint64_t number : sequences)
			    {
				    // Up to 50: a late record of the earlier start.
				    const bool isLate = number <= 50;
				    const uint64_t sequence = isLate ? number : number - 50;
				    const bool isOlder = isLate || sequence < newest;
				    RC_ASSERT(isOlder == order.isOutdated(record(isLate ? 100 : 200, sequence), kStart));
				    newest = isLate ? newest : std::max(newest, sequence);
			    }
		    }));
	}

	/// One record with another address, of another writer, must not keep a running target out of use.
	void anEarlierStartThatKeepsWritingRuns()
	{
		CPPUNIT_ASSERT(!order_.isOutdated(record(0, 5), kStart));
		CPPUNIT_ASSERT(!order_.isOutdated(record(0, 1, "b:1"), kStart));
		CPPUNIT_ASSERT(order_.isOutdated(record(0, 6), kStart));
		CPPUNIT_ASSERT(order_.isOutdated(record(0, 7), kStart));
		CPPUNIT_ASSERT(!order_.isOutdated(record(0, 8), kStart));
		CPPUNIT_ASSERT(order_.isOutdated(record(0, 1, "b:1"), kStart));
	}

	/// Another writer may have written a sequence that the target reaches years later.
	void aWrongSequenceBlocksNoTargetForLong()
	{
		CPPUNIT_ASSERT(!order_.isOutdated(record(0, 1ULL << 53U), kStart));
		CPPUNIT_ASSERT(order_.isOutdated(record(0, 5), kStart));
		CPPUNIT_ASSERT(!order_.isOutdated(record(0, 6), kStart + RecordOrder::kPendingWriteLimit));
		CPPUNIT_ASSERT(!order_.isOutdated(record(0, 7), kStart + RecordOrder::kPendingWriteLimit));
	}

	void targetsWithoutRecordsAreForgotten()
	{
		for (uint64_t target = 0; target < 100; ++target)
		{
			RunnerRecord other = record(0, 5);
			other.instance.text = std::to_string(target);
			order_.isOutdated(other, kStart);
		}
		CPPUNIT_ASSERT_EQUAL(std::size_t(100), order_.size());
		const Time later = kStart + RecordOrder::kPendingWriteLimit + RecordOrder::kPendingWriteLimit;
		order_.isOutdated(record(0, 5), later);
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), order_.size());
	}

private:
	static RunnerRecord record(int64_t _startTime, uint64_t _sequence, const char* _address = "a:1")
	{
		RunnerRecord record;
		record.address = _address;
		record.instance.text = "t1";
		record.startTime = StartTime{_startTime};
		record.sequence = RecordSequence{_sequence};
		return record;
	}

	static constexpr Time kStart{5000000};
	RecordOrder order_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RecordOrderTest);

} // namespace sedgecart

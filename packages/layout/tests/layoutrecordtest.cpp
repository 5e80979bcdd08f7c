// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <layout/layoutrecord.h>

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace sedgecart
{

namespace
{

constexpr std::size_t kLargeFleet = 7700; //!< Targets.

LayoutHoldRecord holdOf(std::size_t _target)
{
	const std::string name = "i-7f3a91c2d4e5f" + std::to_string(10000 + _target);
	return LayoutHoldRecord{InstanceId{name}, StartTime{1764777600000}, LayerSpan{16, 28}};
}

ReportedOrder orderOf(std::size_t _target)
{
	ReportedOrder order;
	order.hold = holdOf(_target);
	order.fence = Offset{1000};
	order.phase = OrderPhase::Begun;
	order.age = Duration::fromMillis(2000);
	order.timeLeft = Duration::fromMillis(9000);
	order.loadTime = Duration::fromMillis(2000);
	return order;
}

LayoutRecord recordOf(std::size_t _holds, std::size_t _orders)
{
	LayoutRecord record;
	record.author = "front-1 1764777600000";
	for (std::size_t target = 0; target < _holds; ++target)
	{
		record.holds.push_back(holdOf(target));
	}
	for (std::size_t target = 0; target < _orders; ++target)
	{
		record.reportedOrders.push_back(orderOf(target));
	}
	return record;
}

} // namespace

/// The store refuses records above a size. A change of a large fleet with all orders in effect exceeded it, and would
/// have been refused each time it was appended.
class LayoutRecordTest : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(LayoutRecordTest);
	CPPUNIT_TEST(aChangeThatFitsIsComplete);
	CPPUNIT_TEST(aLargeChangeIsFitted);
	CPPUNIT_TEST(earlierOrdersLeaveRoomForHolds);
	CPPUNIT_TEST_SUITE_END();

public:
	void aChangeThatFitsIsComplete()
	{
		LayoutRecord record = recordOf(2000, 2000);
		const OmittedOrders omitted = fitLayoutRecord(record);
		CPPUNIT_ASSERT_EQUAL(std::size_t(0), omitted.holds);
		CPPUNIT_ASSERT_EQUAL(std::size_t(0), omitted.reportedOrders);
		CPPUNIT_ASSERT(writeLayoutRecord(record).size() <= kMaxLayoutBytes);
	}

	void aLargeChangeIsFitted()
	{
		CPPUNIT_ASSERT(kMaxLayoutBytes < writeLayoutRecord(recordOf(kLargeFleet, kLargeFleet)).size());
		LayoutRecord record = recordOf(kLargeFleet, kLargeFleet);
		const OmittedOrders omitted = fitLayoutRecord(record);
		CPPUNIT_ASSERT_EQUAL(kLargeFleet, record.holds.size() + omitted.holds);
		CPPUNIT_ASSERT_EQUAL(kLargeFleet, record.reportedOrders.size() + omitted.reportedOrders);
		CPPUNIT_ASSERT(!record.holds.empty());
		CPPUNIT_ASSERT(!record.reportedOrders.empty());
		const std::string text = writeLayoutRecord(record);
		CPPUNIT_ASSERT(text.size() <= kMaxLayoutBytes);
		LayoutRecord read;
		CPPUNIT_ASSERT_EQUAL(RecordFault::None, readLayoutRecord(text, read));
		CPPUNIT_ASSERT_EQUAL(record.holds.size(), read.holds.size());
		CPPUNIT_ASSERT_EQUAL(record.reportedOrders.size(), read.reportedOrders.size());
	}

	void earlierOrdersLeaveRoomForHolds()
	{
		LayoutRecord record = recordOf(10, kLargeFleet);
		record.reportedOrders.back().phase = OrderPhase::Refused;
		CPPUNIT_ASSERT_EQUAL(std::size_t(0), fitLayoutRecord(record).holds);
		CPPUNIT_ASSERT(writeLayoutRecord(record).size() <= kMaxLayoutBytes);
		CPPUNIT_ASSERT_EQUAL(OrderPhase::Refused, record.reportedOrders.front().phase);
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(LayoutRecordTest);

} // namespace sedgecart

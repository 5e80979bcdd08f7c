// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <wire/boundedparse.h>
#include <wire/sedgecart.pb.h>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <string>

namespace sedgecart
{

namespace
{

constexpr ParseBound kBound{1UL << 20U, 100000};

/// @returns a report with that many empty rows, two bytes each.
std::string emptyRows(int _count)
{
	wire::PeerMessage message;
	for (int row = 0; row < _count; ++row)
	{
		message.mutable_hall_report()->add_loads();
	}
	return message.SerializeAsString();
}

std::string someReport()
{
	wire::PeerMessage message;
	wire::HallReport& report = *message.mutable_hall_report();
	report.set_node("n1");
	report.set_number(3);
	for (int row = 0; row < 3; ++row)
	{
		wire::FleetLoadRow& load = *report.add_loads();
		load.set_target("i-" + std::to_string(row));
		load.set_requests(7);
		load.set_pace(2);
	}
	return message.SerializeAsString();
}

} // namespace

class BoundedParseTest : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(BoundedParseTest);
	CPPUNIT_TEST(whatFitsIsRead);
	CPPUNIT_TEST(tooManyBytesAreNotRead);
	CPPUNIT_TEST(tooManyFieldsAreNotRead);
	CPPUNIT_TEST(newerVersionsAreRead);
	CPPUNIT_TEST(randomBytesAreBorne);
	CPPUNIT_TEST(changedMessagesAreBorne);
	CPPUNIT_TEST_SUITE_END();

public:
	void whatFitsIsRead()
	{
		wire::PeerMessage message;
		CPPUNIT_ASSERT(parseBounded(emptyRows(90000), kBound, message));
		CPPUNIT_ASSERT_EQUAL(90000, message.hall_report().loads_size());
		CPPUNIT_ASSERT(parseBounded(someReport(), kBound, message));
		CPPUNIT_ASSERT_EQUAL(3, message.hall_report().loads_size());
	}

	void tooManyBytesAreNotRead()
	{
		wire::PeerMessage message;
		const std::string text = someReport();
		CPPUNIT_ASSERT(parseBounded(text, ParseBound{text.size(), 1}, message)); // few bytes are not counted out
		CPPUNIT_ASSERT(!parseBounded(text, ParseBound{text.size() - 1, 100}, message));
		CPPUNIT_ASSERT(wire::PeerMessage::BODY_NOT_SET == message.body_case());
	}

	/// Rows without anything in them take two bytes each, and some hundred in memory.
	void tooManyFieldsAreNotRead()
	{
		wire::PeerMessage message;
		CPPUNIT_ASSERT(!parseBounded(emptyRows(100001), kBound, message));
		CPPUNIT_ASSERT(wire::PeerMessage::BODY_NOT_SET == message.body_case());
		wire::TopicRecords records;
		records.add_records()->set_value(std::string(200000, '\x0a'));
		CPPUNIT_ASSERT(parseBounded(records.SerializeAsString(), ParseBound{1UL << 20U, 3}, records)); // a value is one
		CPPUNIT_ASSERT_EQUAL(1, records.records_size());
	}

	/// A newer version may write fields that this one does not know, at any place.
	void newerVersionsAreRead()
	{
		const std::string later = std::string("\xc2\x3e\x02hi", 5) + std::string("\xc8\x3e\x05", 3);
		wire::PeerMessage message;
		CPPUNIT_ASSERT(parseBounded(later + someReport() + later, kBound, message));
		CPPUNIT_ASSERT_EQUAL(3, message.hall_report().loads_size());
		CPPUNIT_ASSERT(parseBounded(later + emptyRows(50000), kBound, message));
	}

	void randomBytesAreBorne()
	{
		CPPUNIT_ASSERT(rc::check("random bytes",
		                         []
		                         {
			                         const auto bytes = *rc::gen::arbitrary<std::string>();
			                         const auto times = *rc::gen::element(1, 5000);
			                         std::string text;
			                         for (int time = 0; time < times; ++time)
			                         {
				                         text += bytes;
			                         }
			                         wire::PeerMessage message;
			                         const bool isRead = parseBounded(text, ParseBound{1UL << 20U, 1000}, message);
			                         RC_ASSERT(isRead || wire::PeerMessage::BODY_NOT_SET == message.body_case());
		                         }));
	}

	void changedMessagesAreBorne()
	{
		CPPUNIT_ASSERT(rc::check("a changed report",
		                         []
		                         {
			                         std::string text = someReport();
			                         const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
			                         text.replace(at, *rc::gen::inRange<std::size_t>(0, 4),
			                                      *rc::gen::arbitrary<std::string>());
			                         wire::PeerMessage message;
			                         if (parseBounded(text, kBound, message))
			                         {
				                         RC_ASSERT(message.hall_report().loads_size() <= int(text.size()));
			                         }
		                         }));
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(BoundedParseTest);

} // namespace sedgecart

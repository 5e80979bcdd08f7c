// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <ctl/requeststory.h>

#include <cppunit/extensions/HelperMacros.h>

#include <sstream>

namespace sedgecart
{

namespace
{

std::string line(const std::string& _second, const std::string& _node, const std::string& _message,
                 const std::string& _request, const std::string& _fields)
{
	return R"({"time":"2026-12-02T18:00:)" + _second + R"(Z","node":")" + _node +
	       R"(","level":"info","part":"requests",)" + R"("message":")" + _message + R"(","request":")" + _request +
	       R"(",)" + _fields + "}\n";
}

std::string leases(const std::string& _second, const std::string& _hall, const std::string& _service,
                   const std::string& _free)
{
	return line(_second, "hub", "Leases of the hall.", "",
	            R"("service":")" + _service + R"(","hall":")" + _hall + R"(","free":")" + _free + '"');
}

} // namespace

class RequestStoryTest : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(RequestStoryTest);
	CPPUNIT_TEST(linesOfARequestInOrder);
	CPPUNIT_TEST(targetsOfItsPathBelongToIt);
	CPPUNIT_TEST(waitsAndRefusalsFollowTheHubsLine);
	CPPUNIT_TEST(whatIsNoRecordIsPassedOver);
	CPPUNIT_TEST_SUITE_END();

public:
	void linesOfARequestInOrder()
	{
		std::istringstream later(line("01.500000", "n1", "Request is refused.", "id1", R"("cause":"target_lost")"));
		std::istringstream earlier(line("01.000000", "n1", "Request is sent.", "id1", R"("path":"t1/h1/0-8")") +
		                           line("01.100000", "n1", "Request is sent.", "id2", R"("path":"t1/h1/0-8")"));
		RequestStory story("id1");
		story.read(later);
		story.read(earlier);
		CPPUNIT_ASSERT_EQUAL(std::size_t(2), story.records().size());
		CPPUNIT_ASSERT_EQUAL(std::string("Request is sent."), story.records()[0].message);
		CPPUNIT_ASSERT(std::string::npos != story.text().find("n1  Request is refused.  cause=target_lost"));
	}

	void targetsOfItsPathBelongToIt()
	{
		const std::string path = R"("path":"t1/h1/0-4,t2/h1/4-8")";
		std::istringstream log(line("01.000000", "n1", "Request is sent.", "id1", path) +
		                       line("01.200000", "n1", "Target is taken as dead.", "", R"("target":"t2")") +
		                       line("01.200000", "n1", "Target is taken as dead.", "", R"("target":"t9")") +
		                       line("01.200000", "n2", "Target is taken as dead.", "", R"("target":"t2")") +
		                       line("09.000000", "n1", "Target left the registry.", "", R"("target":"t2")") +
		                       line("01.300000", "n1", "Answer is passed on.", "id1", R"("events":"7")"));
		RequestStory story("id1");
		story.read(log);
		const std::vector<LogRecord> records = story.records();
		CPPUNIT_ASSERT_EQUAL(std::size_t(3), records.size());
		CPPUNIT_ASSERT_EQUAL(std::string("Target is taken as dead."), records[1].message);
		CPPUNIT_ASSERT_EQUAL(std::string("n1"), records[1].node);
	}

	/// Guards against a line of another hall or service or one after the decision, and against lines of the same
	/// microsecond that change places.
	void waitsAndRefusalsFollowTheHubsLine()
	{
		const std::string decided = R"("service":"llm","urgency":"2")";
		std::istringstream log(
		    line("00.000000", "n1", "Node starts.", "", R"("hall":"h1")") + leases("01.0", "h1", "llm", "500") +
		    leases("02.0", "h1", "llm", "40") + leases("02.1", "h2", "llm", "1") + leases("02.1", "h1", "other", "2") +
		    line("02.5", "n1", "Request waits for capacity.", "id1", decided) +
		    line("03.0", "n1", "Leases of the hall.", "", R"("service":"llm","free":"30")") +
		    line("03.5", "n1", "Request is admitted after a wait.", "id1", decided) +
		    line("03.5", "n1", "Request is sent.", "id1", decided) +
		    line("03.6", "n1", "Request waits for capacity.", "id1", decided) +
		    line("03.6", "n1", "Request is displaced by a more urgent one.", "id1", decided) +
		    line("03.6", "n1", "Request is refused.", "id1", decided) + leases("04.0", "h1", "llm", "20"));
		RequestStory story("id1");
		story.read(log);
		std::string told;
		for (const LogRecord& record : story.records())
		{
			told += record.message + valueOf(record, "free") + '\n';
		}
		CPPUNIT_ASSERT_EQUAL(std::string("Leases of the hall.40\nRequest waits for capacity.\nLeases of the hall.30\n"
		                                 "Request is admitted after a wait.\nRequest is sent.\n"
		                                 "Request waits for capacity.\nRequest is displaced by a more urgent one.\n"
		                                 "Request is refused.\n"),
		                     told);
	}

	void whatIsNoRecordIsPassedOver()
	{
		std::istringstream log("id1 says nothing\n{\"request\":\"id1\"}\n{broken id1\n  4.2 n1 " +
		                       line("01.000000", "n1", "Request is sent.", "id1", R"("sends":"1")"));
		RequestStory story("id1");
		story.read(log);
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), story.records().size()); // the one behind a collector's prefix
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestStoryTest);

} // namespace sedgecart

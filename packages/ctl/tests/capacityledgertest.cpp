// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <ctl/capacityledger.h>

#include <cppunit/extensions/HelperMacros.h>

#include <sstream>

namespace sedgecart
{

namespace
{

/// @param _fields JSON.
std::string line(const std::string& _second, const std::string& _node, const std::string& _message,
                 const std::string& _fields)
{
	return R"({"time":"2026-12-02T18:00:)" + _second + R"(Z","node":")" + _node + R"(","message":")" + _message +
	       R"(","request":"",)" + _fields + "}\n";
}

std::string starts(const std::string& _node, const std::string& _hall)
{
	return line("00.000000", _node, "Node starts.", R"("hall":")" + _hall + '"');
}

std::string leases(const std::string& _second, const std::string& _hub, const std::string& _service,
                   const std::string& _figures)
{
	return line(_second, _hub, "Leases of the hall.", R"("service":")" + _service + R"(","nodes":"20",)" + _figures);
}

const std::string kRefused = "Request is refused.";
const std::string kUrgent = R"("urgency":"0")";
const std::string kPatient = R"("urgency":"2")";
const std::string kOverloaded = R"("urgency":"2","cause":"overloaded")";

} // namespace

class CapacityLedgerTest : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(CapacityLedgerTest);
	CPPUNIT_TEST(eachSecondOfAHallHasItsLine);
	CPPUNIT_TEST(theLastLineOfASecondCounts);
	CPPUNIT_TEST(incompleteLinesAndLogsInAnyOrder);
	CPPUNIT_TEST_SUITE_END();

public:
	/// Two seconds of a burst of the least urgent class. docs/OPERATIONS.md shows the table as its sample.
	void eachSecondOfAHallHasItsLine()
	{
		read(starts("n1", "hall-a") + starts("n2", "hall-a") + starts("n3", "hall-b") +
		     leases("05.1", "n1", "llm", R"("capacity":"120000","free":"18400","lent":"15200","waiting_2":"2600")") +
		     line("05.2", "n1", "Request waits for capacity.", kPatient) +
		     line("05.3", "n2", "Request waits for capacity.", kPatient) +
		     line("05.4", "n2", "Request is admitted after a wait.", kPatient) +
		     leases("06.1", "n1", "llm",
		            R"("capacity":"80000","free":"900","lent":"900","waiting_0":"1400","waiting_1":"0")") +
		     line("06.2", "n1", "Request waits for capacity.", kUrgent) +
		     line("06.3", "n1", "Request is displaced by a more urgent one.", kPatient) +
		     line("06.3", "n1", kRefused, kOverloaded) + line("06.4", "n2", kRefused, kOverloaded) +
		     line("06.5", "n2", kRefused, R"("urgency":"1","cause":"target_refused")") +
		     line("06.6", "n3", kRefused, kOverloaded));
		CPPUNIT_ASSERT_EQUAL(
		    std::string("     0 s  hall-a  capacity 120000  free 18400  lent 15200  waiting 2:2600"
		                "  waits 2:2  admitted 2:1\n"
		                "     1 s  hall-a  capacity 80000  free 900  lent 900  waiting 0:1400"
		                "  waits 0:1  displaced 2:1  refused overloaded 2:2  refused target_refused 1:1\n"
		                "     1 s  hall-b  refused overloaded 2:1\n"),
		    ledger_.table());
	}

	/// A hub that takes over logs the same hall within the same second: its capacity must not be added.
	void theLastLineOfASecondCounts()
	{
		read(starts("n1", "hall-a") + starts("n2", "hall-a") +
		     leases("05.9", "n2", "llm", R"("capacity":"100","free":"60","lent":"50")") +
		     leases("05.1", "n1", "llm", R"("capacity":"100","free":"20","lent":"10","waiting_0":"9")") +
		     leases("05.5", "n1", "other", R"("capacity":"1000","free":"5","lent":"5","waiting_0":"3")"));
		CPPUNIT_ASSERT_EQUAL(std::string("     0 s  hall-a  capacity 1100  free 65  lent 55  waiting 0:3\n"),
		                     ledger_.table());
	}

	/// Guards against lines of nodes of the previous version, and rotated logs that are read before "Node starts.".
	void incompleteLinesAndLogsInAnyOrder()
	{
		read("no record\n" + line("05.5", "n2", kRefused, R"("cause":"no_targets")") +
		     line("06.5", "n3", kRefused, kOverloaded));
		read(starts("n3", "hall-b") + leases("05.6", "n1", "llm", R"("free":"many","hall":"hall-a")"));
		CPPUNIT_ASSERT_EQUAL(std::string("second,hall,figure,urgency,cause,value\n"
		                                 "0,hall-a,capacity,,,0\n0,hall-a,free,,,0\n"
		                                 "0,hall-a,lent,,,0\n0,hall-a,nodes,,,20\n"
		                                 "0,n2,refused,-,no_targets,1\n1,hall-b,refused,2,overloaded,1\n"),
		                     ledger_.csv());
	}

private:
	void read(const std::string& _lines)
	{
		std::istringstream log(_lines);
		ledger_.read(log);
	}

	CapacityLedger ledger_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CapacityLedgerTest);

} // namespace sedgecart

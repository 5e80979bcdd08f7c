// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <ctl/lossledger.h>

#include <cppunit/extensions/HelperMacros.h>

#include <sstream>

namespace sedgecart
{

namespace
{

std::string line(const std::string& _second, const std::string& _message, const std::string& _request,
                 const std::string& _fields)
{
	return R"({"time":"2026-12-02T18:00:)" + _second +
	       R"(Z","node":"n1","level":"info","part":"requests","message":")" + _message + R"(","request":")" + _request +
	       R"(",)" + _fields + "}\n";
}

std::string sent(const std::string& _second, const std::string& _request, bool _resumes = false)
{
	return line(_second, "Request is sent.", _request,
	            std::string(R"("service":"llm","resumes":")") + (_resumes ? "true\"" : "false\""));
}

std::string answered(const std::string& _second, const std::string& _request, const std::string& _firstMs)
{
	return line(_second, "Answer is passed on.", _request, R"("first_ms":")" + _firstMs + '"');
}

std::string layoutLine(const std::string& _second, const std::string& _node, const std::string& _message,
                       const std::string& _fields)
{
	return R"({"time":"2026-12-02T18:00:)" + _second + R"(Z","node":")" + _node +
	       R"(","level":"info","part":"layout","message":")" + _message + R"(","request":"",)" + _fields + "}\n";
}

std::string lost(const std::string& _second, const std::string& _node, const std::string& _layers)
{
	return layoutLine(_second, _node, "Layers have no holder.", R"("hall":"h1","layers":")" + _layers + '"');
}

std::string heldAgain(const std::string& _second, const std::string& _node)
{
	return layoutLine(_second, _node, "Layers are held again.", R"("hall":"h1")");
}

std::string step(const std::string& _second, const std::string& _node, const std::string& _phase,
                 const std::string& _layers, const std::string& _hall)
{
	return layoutLine(_second, _node, "Order of the layout goes on.",
	                  R"("phase":")" + _phase + R"(","target":"t-)" + _hall + _layers + R"(","fence":"7","layers":")" +
	                      _layers + R"(","hall":")" + _hall + '"');
}

} // namespace

class LossLedgerTest : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(LossLedgerTest);
	CPPUNIT_TEST(eachRequestHasOneCause);
	CPPUNIT_TEST(aRequestCountsWhereItCame);
	CPPUNIT_TEST(pausesAreToldByWhatTheRequestDid);
	CPPUNIT_TEST(whatCallersDidWrongIsNoLoss);
	CPPUNIT_TEST(eachLossOfLayersHasItsLine);
	CPPUNIT_TEST(nodesThatSeeOneLossTellOfOne);
	CPPUNIT_TEST(aLossThatDidNotEndIsTold);
	CPPUNIT_TEST_SUITE_END();

public:
	void eachRequestHasOneCause()
	{
		read(sent("01.000000", "a") + answered("02.000000", "a", "80") + sent("01.100000", "b") +
		     answered("03.000000", "b", "900") + sent("01.200000", "c", true) + answered("03.000000", "c", "900") +
		     sent("01.300000", "d") + line("01.900000", "Stream is broken off.", "d", R"("service":"llm")") +
		     line("01.400000", "Request is refused.", "e", R"("cause":"overloaded","service":"llm")"));
		CPPUNIT_ASSERT_EQUAL(std::string("seconds,hall,service,cause,requests\n"
		                                 "0.000000,h1,llm,none,1\n"
		                                 "0.000000,h1,llm,first_late,1\n"
		                                 "0.000000,h1,llm,resumed,1\n"
		                                 "0.000000,h1,llm,broken_off,1\n"
		                                 "0.000000,h1,llm,no_room,1\n"),
		                     ledger_.csv());
	}

	void aRequestCountsWhereItCame()
	{
		read(sent("01.000000", "a") + answered("09.000000", "a", "80") + sent("05.500000", "b") +
		     answered("06.000000", "b", "80"));
		CPPUNIT_ASSERT_EQUAL(std::string("     0.0 s  h1           on time     1\n"
		                                 "     4.0 s  h1           on time     1\n"),
		                     ledger_.table());
	}

	void pausesAreToldByWhatTheRequestDid()
	{
		const std::string paused = R"("cause":"300 ms")";
		read(sent("01.000000", "a") + line("02.000000", "Stream paused for too long.", "a", paused) +
		     answered("03.000000", "a", "80") + sent("01.100000", "b") +
		     line("02.000000", "Request changes its path.", "b", R"("cause":"moved")") +
		     line("02.100000", "Stream paused for too long.", "b", paused) + answered("03.000000", "b", "80") +
		     sent("01.200000", "c") + sent("02.000000", "c", true) +
		     line("02.300000", "Stream paused for too long.", "c", paused) + answered("03.000000", "c", "80"));
		CPPUNIT_ASSERT_EQUAL(
		    std::string("     0.0 s  h1           on time     0  paused 1  paused_repathed 1  paused_moved 1\n"),
		    ledger_.table());
	}

	void whatCallersDidWrongIsNoLoss()
	{
		read(line("01.000000", "Request is not let in.", "a", R"("cause":"bad_key")") +
		     line("01.000000", "Request is not let in.", "b", R"("cause":"catching_up")") + "no record\n");
		CPPUNIT_ASSERT_EQUAL(std::string("     0.0 s  h1           on time     0  not_proven 1\n"), ledger_.table());
	}

	void eachLossOfLayersHasItsLine()
	{
		read(sent("01.000000", "a") + answered("02.000000", "a", "80") + lost("03.000000", "n1", "20-31") +
		     step("03.400000", "n1", "ordered", "20-31", "h1") + step("03.450000", "n1", "refused", "20-31", "h1") +
		     step("03.500000", "n1", "ordered", "20-31", "h2") + step("04.000000", "n1", "shown", "0-20", "h1") +
		     step("07.100000", "n1", "shown", "20-31", "h1") + heldAgain("07.200000", "n1") +
		     lost("20.000000", "n1", "0-4,9-10") + heldAgain("20.500000", "n1"));
		CPPUNIT_ASSERT_EQUAL(
		    std::string(
		        "     0.0 s  h1           on time     1\n"
		        "     2.0 s  h1           layers 20-31  lost for 4.2 s  ordered +0.4 s  shown +4.1 s  refused 1\n"
		        "    19.0 s  h1           layers 0-4,9-10  lost for 0.5 s  not ordered  not shown\n"),
		    ledger_.table());
	}

	/// Each node tells of the loss and of the order when it reads of them.
	void nodesThatSeeOneLossTellOfOne()
	{
		read(sent("01.000000", "a") + answered("02.000000", "a", "80") + lost("03.200000", "n2", "20-31") +
		     lost("03.000000", "n1", "20-31") + step("03.600000", "n2", "ordered", "20-31", "h1") +
		     step("03.500000", "n1", "ordered", "20-31", "h1") + lost("03.300000", "n3", "20-31") +
		     heldAgain("05.000000", "n2") + heldAgain("04.900000", "n1"));
		CPPUNIT_ASSERT_EQUAL(
		    std::string("     0.0 s  h1           on time     1\n"
		                "     2.0 s  h1           layers 20-31  lost for 2.0 s  ordered +0.5 s  not shown\n"),
		    ledger_.table());
	}

	void aLossThatDidNotEndIsTold()
	{
		read(sent("01.000000", "a") + answered("02.000000", "a", "80") + lost("03.000000", "n1", "20-31"));
		CPPUNIT_ASSERT_EQUAL(
		    std::string("     0.0 s  h1           on time     1\n"
		                "     2.0 s  h1           layers 20-31  not held again  not ordered  not shown\n"),
		    ledger_.table());
	}

private:
	void read(const std::string& _lines)
	{
		std::istringstream log(line("00.000000", "Node starts.", "", R"("hall":"h1")") + _lines);
		ledger_.read(log);
	}

	LossLedger ledger_{2000000, 500};
};

CPPUNIT_TEST_SUITE_REGISTRATION(LossLedgerTest);

} // namespace sedgecart

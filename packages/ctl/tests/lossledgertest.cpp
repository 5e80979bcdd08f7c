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

} // namespace

class LossLedgerTest : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(LossLedgerTest);
	CPPUNIT_TEST(eachRequestHasOneCause);
	CPPUNIT_TEST(aRequestCountsWhereItCame);
	CPPUNIT_TEST(pausesAreToldByWhatTheRequestDid);
	CPPUNIT_TEST(whatCallersDidWrongIsNoLoss);
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

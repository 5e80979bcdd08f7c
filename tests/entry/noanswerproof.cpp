// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

// A target in trouble sent a response whose status was 000, or in whose head something stood twice or in an unknown
// form. Its caller got that as an answer.

#include "entryharness.h"
#include "rawtarget.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

namespace sedgecart
{

namespace
{

const std::string kNames = "Attempt-Id: $ID\r\nResponse-Stamp: stamp\r\n";
const std::string kBody = "Content-Length: 2\r\n\r\nok";

/// @returns a head and a body.
std::string response(const std::string& _status, const std::string& _lines)
{
	return "HTTP/1.1 " + _status + " X\r\n" + _lines + kBody;
}

/// @returns what a caller gets if its target sends these bytes.
/// @param _closes the target closes the connection then.
CallerAnswer answerTo(const std::string& _bytes, const std::string& _path, bool _closes = false)
{
	RawReply reply;
	reply.head = _bytes;
	reply.closes = _closes;
	RawTarget target(reply);
	EntryHarness harness;
	harness.addPlainAt(target.address());
	harness.start();
	TestRequest request;
	request.path = _path;
	request.body.clear();
	return harness.call(request);
}

} // namespace

class NoAnswerProof : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(NoAnswerProof);
	CPPUNIT_TEST(aStatusThatHttpDoesNotDefineReachesNoCaller);
	CPPUNIT_TEST(anInvalidHeadReachesNoCaller);
	CPPUNIT_TEST(whatStandsInTheTrailerSignsNothing);
	CPPUNIT_TEST(anInvalidRefusalIsNoPromise);
	CPPUNIT_TEST(aHeadThatIsCutReachesNoCaller);
	CPPUNIT_TEST(validAnswersReachTheirCaller);
	CPPUNIT_TEST_SUITE_END();

public:
	void aStatusThatHttpDoesNotDefineReachesNoCaller()
	{
		for (const char* const status : {"000", "099", "600", "999"})
		{
			reachesNoCaller(response(status, kNames));
		}
		reachesNoCaller(response("000", ""));
		reachesNoCaller("HTTP/1.1 000 X\r\n" + kNames + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n");
	}

	void anInvalidHeadReachesNoCaller()
	{
		for (const char* const status : {"200", "500"})
		{
			for (const char* const line : {"A B: c\r\n", "A\x01: c\r\n", "A : c\r\n", "A: b\r\n c\r\n",
			                               "Response-Stamp: other\r\n", "Attempt-Id: other\r\n", "Attempt-Id: $ID\r\n",
			                               "Content-Encoding: gzip\r\n", "Transfer-Encoding: gzip\r\n"})
			{
				reachesNoCaller(response(status, kNames + line));
			}
			reachesNoCaller(response(status, "Attempt-Id: $ID\r\nResponse-Stamp:\r\n"));
		}
	}

	void whatStandsInTheTrailerSignsNothing()
	{
		reachesNoCaller("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n" + kNames + "\r\n");
	}

	/// Guards against taking back a request that may be running.
	void anInvalidRefusalIsNoPromise()
	{
		const std::string refusal = kNames + "Not-Executed: 1\r\n";
		CPPUNIT_ASSERT_EQUAL(uint16_t(502), answerTo(response("000", refusal), "/plain/").status);
		CPPUNIT_ASSERT_EQUAL(uint16_t(502),
		                     answerTo(response("503", refusal + "Response-Stamp: other\r\n"), "/plain/").status);
	}

	/// Guards against a 200 with an empty or short body, framed as whole, for a target that stopped in its head.
	void aHeadThatIsCutReachesNoCaller()
	{
		const std::string head = "HTTP/1.1 200 OK\r\n" + kNames;
		std::vector<std::string> cuts;
		for (const std::string& text :
		     {head + kBody, head + "\r\n", head + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"})
		{
			const std::size_t headSize = text.find("\r\n\r\n") + 4;
			for (std::size_t size = 1; size < headSize; size += 15)
			{
				cuts.push_back(text.substr(0, size));
			}
			for (const std::size_t left : {1U, 2U, 3U})
			{
				cuts.push_back(text.substr(0, headSize - left));
			}
		}
		for (const std::string& cut : cuts)
		{
			reachesNoCaller(cut, true);
		}
	}

	void validAnswersReachTheirCaller()
	{
		for (const char* const status : {"200", "201", "404", "500", "599"})
		{
			const CallerAnswer answer = answerTo(response(status, kNames), "/plain/");
			CPPUNIT_ASSERT_EQUAL(std::string(status), std::to_string(answer.status));
			CPPUNIT_ASSERT_EQUAL(std::string("ok"), answer.body);
			CPPUNIT_ASSERT(nullptr != answer.headers.find("Response-Stamp"));
		}
	}

private:
	/// Checks that a request that may run once ends with a failure of the node, and one that may run again as well.
	static void reachesNoCaller(const std::string& _bytes, bool _closes = false)
	{
		for (const char* const path : {"/plain/", "/again/"})
		{
			const CallerAnswer answer = answerTo(_bytes, path, _closes);
			CPPUNIT_ASSERT_EQUAL_MESSAGE(_bytes, uint16_t(502), answer.status);
			CPPUNIT_ASSERT_MESSAGE(_bytes, nullptr == answer.headers.find("Response-Stamp"));
			CPPUNIT_ASSERT_MESSAGE(_bytes, answer.body.empty());
		}
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(NoAnswerProof);

} // namespace sedgecart

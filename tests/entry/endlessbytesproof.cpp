// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

// A target in trouble may send bytes that are no answer, without end, until its caller closes. A node that reads them
// on spends its memory and its processor on what nobody will get, and its caller waits.

#include "entryharness.h"
#include "rawtarget.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <functional>
#include <string>
#include <thread>
#include <vector>

namespace sedgecart
{

namespace
{

using Millis = std::chrono::milliseconds;

/// Most that a node may read of a flood, bytes, and the longest time that it may read where bytes come slowly.
constexpr uint64_t kMaxBytes = 1024UL * 1024;
constexpr Millis kMaxTime{250};

/// Added to the time for a busy machine.
constexpr Millis kSlack{150};

/// What a flood repeats, bytes.
constexpr std::size_t kPiece = 16UL * 1024;

const std::string kSound = "HTTP/1.1 200 OK\r\nAttempt-Id: $ID\r\nResponse-Stamp: stamp\r\n";
const std::string kChunked = "Transfer-Encoding: chunked\r\n\r\n";

std::string repeated(const std::string& _text)
{
	std::string made;
	while (made.size() < kPiece)
	{
		made += _text;
	}
	return made;
}

std::string chunk()
{
	return "4000\r\n" + std::string(kPiece, 'a') + "\r\n";
}

RawReply reply(const std::string& _head, const std::string& _piece, Millis _pause = Millis(0))
{
	RawReply made;
	made.head = _head;
	made.piece = _piece;
	made.pause = _pause;
	return made;
}

TestRequest request()
{
	TestRequest made;
	made.path = "/again/";
	made.body.clear();
	return made;
}

} // namespace

/// How long a node reads bytes that are no answer.
class EndlessBytesProof : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(EndlessBytesProof);
	CPPUNIT_TEST(headLineWithoutEnd);
	CPPUNIT_TEST(headLinesWithoutEnd);
	CPPUNIT_TEST(rawBytes);
	CPPUNIT_TEST(surplusAfterAWholeAnswer);
	CPPUNIT_TEST(surplusAnswersWithoutEnd);
	CPPUNIT_TEST(interimAnswersWithoutEnd);
	CPPUNIT_TEST(bodyWithoutIdAndLength);
	CPPUNIT_TEST(bodyWithoutIdInChunks);
	CPPUNIT_TEST(errorBodyWithoutIdAndLength);
	CPPUNIT_TEST(chunkSizeWithoutEnd);
	CPPUNIT_TEST(trailerWithoutEnd);
	CPPUNIT_TEST(headLineEachFewMilliseconds);
	CPPUNIT_TEST(slowHeadOfAnAnswerIsServed);
	CPPUNIT_TEST(targetIsLeftOutAndComesBack);
	CPPUNIT_TEST_SUITE_END();

public:
	void headLineWithoutEnd()
	{
		endsSoon(reply("HTTP/1.1 200 OK\r\nX: ", repeated("a")));
	}

	void headLinesWithoutEnd()
	{
		endsSoon(reply("HTTP/1.1 200 OK\r\n", repeated("X: a\r\n")));
	}

	void rawBytes()
	{
		endsSoon(reply("", repeated(std::string("\x01\x02\xff", 3))));
	}

	void surplusAfterAWholeAnswer()
	{
		endsSoon(reply(kSound + "Content-Length: 0\r\n\r\n", repeated("a")));
	}

	/// Guards against discarding late answers to other requests for as long as they come.
	void surplusAnswersWithoutEnd()
	{
		endsSoon(reply("", repeated("HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nContent-Length: 2\r\n\r\nab")));
	}

	void interimAnswersWithoutEnd()
	{
		endsSoon(reply("", repeated("HTTP/1.1 100 Continue\r\n\r\n")));
	}

	/// Guards against reading on where the head alone shows that no caller may get the answer.
	void bodyWithoutIdAndLength()
	{
		endsSoon(reply("HTTP/1.1 200 OK\r\n\r\n", repeated("a")));
	}

	void bodyWithoutIdInChunks()
	{
		endsSoon(reply("HTTP/1.1 200 OK\r\n" + kChunked, chunk()));
	}

	void errorBodyWithoutIdAndLength()
	{
		endsSoon(reply("HTTP/1.1 500 Error\r\n\r\n", repeated("a")));
	}

	/// Guards against collecting a line between two chunks until the node exceeds its memory.
	void chunkSizeWithoutEnd()
	{
		endsSoon(reply(kSound + kChunked, repeated("0")));
	}

	void trailerWithoutEnd()
	{
		endsSoon(reply(kSound + kChunked + "0\r\n", repeated("X: a\r\n")));
	}

	void headLineEachFewMilliseconds()
	{
		endsSoon(reply("HTTP/1.1 200 OK\r\n", "X: a\r\n", Millis(5)));
	}

	/// Guards against ending an answer because its target is silent in the middle of the head.
	void slowHeadOfAnAnswerIsServed()
	{
		RawTarget target(reply(kSound, "Content-Length: 0\r\n\r\n", Millis(600)));
		EntryHarness harness;
		harness.addPlainAt(target.address());
		harness.start();
		const CallerAnswer answer = harness.call(request());
		CPPUNIT_ASSERT_EQUAL(uint16_t(200), answer.status);
		CPPUNIT_ASSERT_EQUAL(uint32_t(1), target.requests());
	}

	/// Guards against calling a target again and again that has sent no answer for a while, and against leaving it out
	/// for good.
	void targetIsLeftOutAndComesBack()
	{
		const Millis avoided{1500};
		RawTarget target(reply("", repeated("no answer")));
		EntryHarness harness;
		harness.addPlainAt(target.address());
		harness.addPlain(
		    [](const std::shared_ptr<ServerConnection>& _caller, const ServerRequest& _request)
		    {
			    answerWhole(*_caller, _request, 200, "");
		    });
		harness.start();
		callWhile(harness, 10 * avoided,
		          [&target]
		          {
			          return target.requests() < 3;
		          });
		CPPUNIT_ASSERT_EQUAL(uint32_t(3), target.requests());
		callWhile(harness, 2 * avoided,
		          []
		          {
			          return true;
		          });
		CPPUNIT_ASSERT_EQUAL(uint32_t(3), target.requests());
		target.setReply(reply(kSound + "Content-Length: 0\r\n\r\n", ""));
		callWhile(harness, 10 * avoided,
		          [&target]
		          {
			          return target.requests() < 5;
		          });
		CPPUNIT_ASSERT_EQUAL(uint32_t(5), target.requests());
	}

private:
	/// Calls one after the other, for a time at most. Each call is to succeed.
	static void callWhile(const EntryHarness& _harness, Millis _time, const std::function<bool()>& _condition)
	{
		const auto end = std::chrono::steady_clock::now() + _time;
		while (_condition() && std::chrono::steady_clock::now() < end)
		{
			CPPUNIT_ASSERT_EQUAL(uint16_t(200), _harness.call(request()).status);
			std::this_thread::sleep_for(Millis(5));
		}
	}

	/// The time that a test waits for a close that does not come.
	static constexpr Millis kGiveUp{2000};

	/// Sends requests until the flooding target has got one, and checks when the node closes its connection.
	static void endsSoon(const RawReply& _reply)
	{
		RawTarget target(_reply);
		EntryHarness harness;
		harness.addPlainAt(target.address());
		harness.start();
		TestCaller caller(harness.callerAddress());
		caller.send(textOf(request()));
		const auto end = std::chrono::steady_clock::now() + kGiveUp;
		while (target.floods().empty() && std::chrono::steady_clock::now() < end)
		{
			std::this_thread::sleep_for(Millis(5));
		}
		const std::vector<RawFlood> floods = target.floods();
		CPPUNIT_ASSERT_MESSAGE("the connection is closed", !floods.empty());
		for (const RawFlood& flood : floods)
		{
			const std::string seen =
			    std::to_string(flood.bytes) + " bytes, " + std::to_string(flood.lasted.count()) + " ms";
			CPPUNIT_ASSERT_MESSAGE(seen, flood.bytes <= kMaxBytes);
			if (Millis(0) < _reply.pause)
			{
				CPPUNIT_ASSERT_MESSAGE(seen, flood.lasted <= kMaxTime + kSlack);
			}
		}
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndlessBytesProof);

} // namespace sedgecart

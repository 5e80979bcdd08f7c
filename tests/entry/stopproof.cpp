// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "entryharness.h"
#include "pacedstreams.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <future>
#include <string>
#include <thread>

namespace sedgecart
{

namespace
{

using Millis = std::chrono::milliseconds;

/// Of the slow target, for each event: nearly three times the time that a node supposes before it has seen any.
constexpr Millis kSlowPace{40};

constexpr uint32_t kSeenBefore = 40; //!< Events of the stream that shows the pace.
constexpr uint32_t kUnderWay = 130;  //!< 5.2 s at the pace of the target.
constexpr uint32_t kLong = 200;      //!< 8 s, of which 7.65 s are left at the signal.
constexpr uint32_t kShort = 25;      //!< 1 s.

/// A stop in which so many events have no time at the pace of the target, and have it by the fixed times.
constexpr Duration kBriefStop = Duration::fromMillis(3500);
constexpr uint32_t kTooLongForIt = 100;

/// More than two sockets hold, bytes.
constexpr std::size_t kLargeBody = 12UL * 1024 * 1024;

/// Later than a node that has nothing under way ends, and within the bound of the stop.
constexpr Millis kTakenAfter{3200};

/// Of an upload: more than one read takes, bytes.
constexpr std::size_t kUpload = 256UL * 1024;

/// Before the balancer has removed the node, so that its connection is still open.
constexpr Millis kUploadBegins{2500};

/// Within the time that callers have for a request (3 s).
constexpr Millis kUploadIsWhole{5000};

TestRequest streamOf(uint32_t _events)
{
	TestRequest made;
	made.path = "/stream/";
	made.lines.push_back("Token-Counts: 10," + std::to_string(_events));
	return made;
}

/// @returns how often a stream of so many events came to a target.
std::size_t sentOf(const FakeTarget& _target, uint32_t _events)
{
	std::size_t sent = 0;
	for (const ServerRequest& one : _target.requests())
	{
		const std::string* const counts = one.head.headers.find("Token-Counts");
		sent += nullptr != counts && "10," + std::to_string(_events) == *counts ? 1 : 0;
	}
	return sent;
}

/// Calls a route that does not exist until the node's answers end connections: the stop is in force then.
void awaitStop(const EntryHarness& _harness)
{
	TestRequest none;
	none.path = "/none/";
	const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(30);
	while (nullptr == _harness.call(none).headers.find("Connection") && std::chrono::steady_clock::now() < end)
	{
		std::this_thread::sleep_for(Millis(2));
	}
}

} // namespace

/// A node is told to stop while its targets are slow. It has seen how slow they are. What it lets in from then on ends
/// whole before the process does; what cannot is refused at once as not run, with when to come back; and what it had
/// let in before ends whole.
class StopProof : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(StopProof);
	CPPUNIT_TEST(onlyWhatEndsInTimeIsLetIn);
	CPPUNIT_TEST(switchedOffWhatWasSeenCountsForNothing);
	CPPUNIT_TEST(anAnswerThatIsStillTakenEndsWhole);
	CPPUNIT_TEST(uploadThatBecomesWholeLateInAStopIsAnswered);
	CPPUNIT_TEST_SUITE_END();

public:
	/// By a fixed time for each token the long stream was let in and reset at the end of the stop's window.
	void onlyWhatEndsInTimeIsLetIn()
	{
		PacedStreams streams(kSlowPace);
		EntryHarness harness;
		FakeTarget& target = harness.addEngine(LayerSpan{0, 8}, streams.script());
		streams.serveOn(target);
		harness.start();
		CPPUNIT_ASSERT(harness.call(streamOf(kSeenBefore)).whole);
		TestCaller early(harness.callerAddress());
		early.send(textOf(streamOf(kUnderWay)));
		early.receiveUntil(eventText(0));
		auto stopped = std::async(std::launch::async,
		                          [&harness]
		                          {
			                          harness.stop();
		                          });
		awaitStop(harness);
		auto later = std::async(std::launch::async,
		                        [&harness]
		                        {
			                        return harness.call(streamOf(kLong));
		                        });
		const CallerAnswer brief = harness.call(streamOf(kShort));
		const CallerAnswer earlier = early.receive();
		const CallerAnswer refused = later.get();
		stopped.wait();
		CPPUNIT_ASSERT(brief.whole);
		CPPUNIT_ASSERT_EQUAL(eventTexts(kShort), brief.body);
		CPPUNIT_ASSERT(earlier.whole);
		CPPUNIT_ASSERT_EQUAL(eventTexts(kUnderWay), earlier.body);
		CPPUNIT_ASSERT_EQUAL(uint16_t(503), refused.status);
		CPPUNIT_ASSERT(nullptr != refused.headers.find("Retry-After"));
		CPPUNIT_ASSERT_EQUAL(std::size_t(0), sentOf(target, kLong)); // a 503 promises that it was not run
	}
	/// Else a day played without the mechanism would say nothing of what it is worth.
	void switchedOffWhatWasSeenCountsForNothing()
	{
		CPPUNIT_ASSERT_EQUAL(uint16_t(503), statusInABriefStop("none"));
		CPPUNIT_ASSERT_EQUAL(uint16_t(200), statusInABriefStop("stop-pace"));
	}

	/// It is made before the signal, and its caller takes the rest of it later, within the bound.
	void anAnswerThatIsStillTakenEndsWhole()
	{
		EntryHarness harness;
		harness.addPlain(
		    [](const std::shared_ptr<ServerConnection>& _caller, const ServerRequest& _request)
		    {
			    answerWhole(*_caller, _request, 200, std::string(kLargeBody, 'x'));
		    });
		harness.start();
		TestCaller slow(harness.callerAddress());
		slow.send(textOf(TestRequest{}));
		slow.receiveUntil("xxxx");
		auto stopped = std::async(std::launch::async,
		                          [&harness]
		                          {
			                          harness.stop();
		                          });
		std::this_thread::sleep_for(kTakenAfter);
		const CallerAnswer answer = slow.receive();
		stopped.wait();
		CPPUNIT_ASSERT(answer.whole);
		CPPUNIT_ASSERT_EQUAL(kLargeBody, answer.body.size());
	}

	/// Guards against a connection that is closed without an answer to an upload, because it becomes whole when the
	/// other connections are closed already.
	void uploadThatBecomesWholeLateInAStopIsAnswered()
	{
		EntryHarness harness;
		harness.addPlain(
		    [](const std::shared_ptr<ServerConnection>& _caller, const ServerRequest& _request)
		    {
			    answerWhole(*_caller, _request, 200, "{}");
		    });
		harness.start();
		TestRequest upload;
		upload.body = std::string(kUpload, 'x');
		const std::string text = textOf(upload);
		TestCaller caller(harness.callerAddress());
		const auto stopAt = std::chrono::steady_clock::now();
		auto stopped = std::async(std::launch::async,
		                          [&harness]
		                          {
			                          harness.stop();
		                          });
		std::this_thread::sleep_until(stopAt + kUploadBegins);
		caller.send(text.substr(0, text.size() / 2));
		std::this_thread::sleep_until(stopAt + kUploadIsWhole);
		caller.send(text.substr(text.size() / 2));
		const CallerAnswer answer = caller.receive();
		stopped.wait();
		CPPUNIT_ASSERT(answer.whole);
		CPPUNIT_ASSERT_EQUAL(uint16_t(503), answer.status); // not run: another node may be tried at once
	}

private:
	/// @returns what a stream gets that comes during a stop, too long for it at the pace that the node has seen.
	/// @param _off mechanisms that are off.
	static uint16_t statusInABriefStop(const char* _off)
	{
		PacedStreams streams(kSlowPace);
		EntryHarness harness;
		std::string unknown;
		CPPUNIT_ASSERT(harness.settings().mechanisms.disable(_off, unknown));
		harness.settings().stopBound = kBriefStop;
		FakeTarget& target = harness.addEngine(LayerSpan{0, 8}, streams.script());
		streams.serveOn(target);
		harness.start();
		CPPUNIT_ASSERT(harness.call(streamOf(kSeenBefore)).whole);
		auto stopped = std::async(std::launch::async,
		                          [&harness]
		                          {
			                          harness.stop();
		                          });
		awaitStop(harness);
		const uint16_t status = harness.call(streamOf(kTooLongForIt)).status;
		stopped.wait();
		return status;
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(StopProof);

} // namespace sedgecart

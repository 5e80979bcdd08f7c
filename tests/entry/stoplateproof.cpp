// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "entryharness.h"
#include "pacedstreams.h"

#include <cppunit/extensions/HelperMacros.h>
#include <settings/entrysettings.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace sedgecart
{

namespace
{

using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;

constexpr uint64_t kMaxTokens = 386;  //!< Of every stream.
constexpr uint64_t kShortEvents = 40; //!< Of an answer before the stop.
constexpr Millis kPaceBefore{4};      //!< Time per event before the stop.
constexpr Millis kPaceAfter{31};
constexpr int kAnswersBefore = 200; //!< More than the estimates need.
constexpr int kCallersBefore = 6;   //!< Fewer than a target has slots.

/// Moments at which a request is sent over an open connection, from the stop on: long after the balancer has removed
/// the node, and early enough that the node is still there.
constexpr Millis kLateMoments[] = {Millis(3200), Millis(3750), Millis(4300), Millis(5100), Millis(5900)};

/// Time until the balancer has removed a node: it probes every second and acts on the second failure.
constexpr Millis kBalancerTime{2800};

constexpr uint64_t kKeepingEvents = 200; //!< Of a stream that ends well after that.

/// A request sent at this time keeps the node, which would end early without one.
constexpr Millis kKeepingMoment{2500};

TestRequest streamOf(const std::string& _id)
{
	TestRequest made;
	made.path = "/stream/";
	made.id = _id;
	made.lines.push_back("Token-Counts: 10," + std::to_string(kMaxTokens));
	return made;
}

TestRequest callOf(const std::string& _id)
{
	TestRequest made;
	made.id = _id;
	return made;
}

/// Requests over connections that were opened before the stop. Their first bytes are sent before connections at rest
/// are closed, so that the node reads them and has to decide.
class LateCallers
{
public:
	using Request = TestRequest (*)(const std::string&);

	LateCallers(const EntryHarness& _harness, Request _request) : request_(_request)
	{
		for (std::size_t index = 0; index < std::size(kLateMoments); ++index)
		{
			callers_.push_back(std::make_unique<TestCaller>(_harness.callerAddress()));
		}
		keeping_ = std::make_unique<TestCaller>(_harness.callerAddress());
	}

	/// Sends each request at its moment. @returns when all have ended.
	void run(Clock::time_point _stopAt)
	{
		std::vector<std::thread> threads;
		threads.emplace_back(
		    [this, _stopAt]
		    {
			    callOnce(*keeping_, "keeping", _stopAt + kKeepingMoment);
		    });
		for (std::size_t index = 0; index < callers_.size(); ++index)
		{
			threads.emplace_back(
			    [this, _stopAt, index]
			    {
				    std::this_thread::sleep_until(_stopAt + kKeepingMoment);
				    const std::string id = "late" + std::to_string(index);
				    if (!callOnce(*callers_[index], id, _stopAt + kLateMoments[index]))
				    {
					    const std::lock_guard<std::mutex> lock(mutex_);
					    unanswered_.push_back(id);
				    }
			    });
		}
		for (std::thread& thread : threads)
		{
			thread.join();
		}
	}

	/// @returns requests that were refused as not run.
	uint32_t refused() const
	{
		return refused_;
	}

	/// @returns late requests that a target was sent and whose caller got no whole answer.
	std::size_t lostAt(const FakeTarget& _target) const
	{
		std::size_t lost = 0;
		for (const ServerRequest& one : _target.requests())
		{
			const std::string* const id = one.head.headers.find("Attempt-Id");
			lost += nullptr != id && 0 < std::count(unanswered_.begin(), unanswered_.end(), *id) ? 1 : 0;
		}
		return lost;
	}

private:
	/// Sends a request at once but for its last byte, which follows at a time.
	/// @returns false if no whole answer came.
	bool callOnce(TestCaller& _caller, const std::string& _id, Clock::time_point _lastAt)
	{
		try
		{
			const std::string text = textOf(request_(_id));
			_caller.send(text.substr(0, text.size() - 1));
			std::this_thread::sleep_until(_lastAt);
			_caller.send(text.substr(text.size() - 1));
			const CallerAnswer answer = _caller.receive();
			refused_ += 503 == answer.status && answer.whole ? 1 : 0;
			return answer.whole;
		}
		catch (const boost::system::system_error&)
		{
			return false; // the node has closed the connection
		}
	}

	Request request_;
	std::vector<std::unique_ptr<TestCaller>> callers_;
	std::unique_ptr<TestCaller> keeping_;
	std::atomic<uint32_t> refused_{0};
	std::mutex mutex_;
	std::vector<std::string> unanswered_; //!< Ids of requests.
};

std::thread stopInBackground(EntryHarness& _harness)
{
	return std::thread(
	    [&_harness]
	    {
		    _harness.stop();
	    });
}

/// Stops the node while callers send requests over open connections.
void stopUnder(EntryHarness& _harness, LateCallers& _callers)
{
	const Clock::time_point stopAt = Clock::now();
	std::thread stop = stopInBackground(_harness);
	_callers.run(stopAt);
	stop.join();
}

void answerBefore(const EntryHarness& _harness, LateCallers::Request _request)
{
	std::atomic<int> begun{0};
	std::vector<std::thread> callers;
	for (int caller = 0; caller < kCallersBefore; ++caller)
	{
		callers.emplace_back(
		    [&_harness, &begun, _request]
		    {
			    for (int number = begun++; number < kAnswersBefore; number = begun++)
			    {
				    CPPUNIT_ASSERT_EQUAL(uint16_t(200),
				                         _harness.call(_request("before" + std::to_string(number))).status);
			    }
		    });
	}
	for (std::thread& caller : callers)
	{
		caller.join();
	}
}

} // namespace

/// Requests arrive over open connections after the balancer has removed a node that stops. They take longer than any
/// that the node has seen.
class StopLateProof : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(StopLateProof);
	CPPUNIT_TEST(longStreamsAfterShortOnesAreNotCutByAStop);
	CPPUNIT_TEST(slowCallsAfterFastOnesAreNotCutByAStop);
	CPPUNIT_TEST(restingConnectionsAreClosedOnceTheBalancerHasRemovedTheNode);
	CPPUNIT_TEST(newCallersAreAnsweredUntilTheEndOfAStop);
	CPPUNIT_TEST(aRequestThatAnotherNodeHandsOverIsDeclinedByAStop);
	CPPUNIT_TEST(aCallThatIsStillRunningAtTheEndOfAStopGetsAnErrorResponse);
	CPPUNIT_TEST_SUITE_END();

public:
	/// Guards against streams that are admitted because earlier answers were short, and cut at the end of the stop.
	void longStreamsAfterShortOnesAreNotCutByAStop()
	{
		PacedStreams streams(kPaceBefore);
		EntryHarness harness;
		FakeTarget& target = harness.addEngine(LayerSpan{0, 8}, streams.script());
		streams.serveOn(target);
		streams.setAnswer(kShortEvents, kPaceBefore);
		harness.start();
		answerBefore(harness, &streamOf);
		streams.setAnswer(kMaxTokens, kPaceAfter);
		LateCallers callers(harness, &streamOf);
		stopUnder(harness, callers);
		CPPUNIT_ASSERT_EQUAL(std::size_t(0), callers.lostAt(target));
		CPPUNIT_ASSERT(0 < callers.refused()); // by the admission, not by a closed connection
	}

	/// Guards against calls that are admitted because earlier ones were fast, and cut at the end of the stop.
	void slowCallsAfterFastOnesAreNotCutByAStop()
	{
		std::atomic<Millis> work{Millis(5)};
		EntryHarness harness;
		FakeTarget& target = addCallTarget(harness, work);
		harness.start();
		answerBefore(harness, &callOf);
		work = Millis(3000);
		LateCallers callers(harness, &callOf);
		stopUnder(harness, callers);
		CPPUNIT_ASSERT_EQUAL(std::size_t(0), callers.lostAt(target));
		CPPUNIT_ASSERT(0 < callers.refused()); // by the admission, not by a closed connection
	}

	/// Guards against callers that send requests to a node which refuses them, while it ends others.
	void restingConnectionsAreClosedOnceTheBalancerHasRemovedTheNode()
	{
		PacedStreams streams(kPaceAfter);
		EntryHarness harness;
		FakeTarget& target = harness.addEngine(LayerSpan{0, 8}, streams.script());
		streams.serveOn(target);
		streams.setAnswer(kKeepingEvents, kPaceAfter);
		harness.start();
		TestCaller keeping(harness.callerAddress());
		keeping.send(textOf(streamOf("keeping")));
		keeping.receiveUntil(eventText(0));
		TestCaller resting(harness.callerAddress());
		const Clock::time_point stopAt = Clock::now();
		std::thread stop = stopInBackground(harness);
		CPPUNIT_ASSERT(!resting.receive().whole);
		const Clock::duration open = Clock::now() - stopAt;
		const bool isKeepingWhole = keeping.receive().whole;
		stop.join();
		CPPUNIT_ASSERT(isKeepingWhole);
		CPPUNIT_ASSERT(kBalancerTime <= open);
		CPPUNIT_ASSERT(open < kBalancerTime + Millis(500));
	}

	/// Guards against refused connections: the balancer sends callers to nodes that stop where too few others are
	/// ready.
	void newCallersAreAnsweredUntilTheEndOfAStop()
	{
		std::atomic<Millis> work{Millis(5500)};
		EntryHarness harness;
		addCallTarget(harness, work);
		harness.start();
		TestCaller keeping(harness.callerAddress());
		keeping.send(textOf(callOf("keeping")));
		std::thread stop = stopInBackground(harness);
		std::this_thread::sleep_for(kLateMoments[0]);
		const CallerAnswer late = harness.call(callOf("late"));
		const CallerAnswer kept = keeping.receive();
		stop.join();
		CPPUNIT_ASSERT_EQUAL(uint16_t(503), late.status);
		CPPUNIT_ASSERT(nullptr == late.headers.find("Retry-After")); // another node may take it at once
		CPPUNIT_ASSERT_EQUAL(uint16_t(200), kept.status);
	}

	/// Guards against streams of a node that does not stop, handed over to one that does and cut there.
	void aRequestThatAnotherNodeHandsOverIsDeclinedByAStop()
	{
		std::atomic<Millis> work{Millis(1)};
		EntryHarness harness;
		FakeTarget& target = addCallTarget(harness, work);
		harness.start();
		TestCaller peer(handoverAddress(harness.settings()));
		std::thread stop = stopInBackground(harness);
		std::this_thread::sleep_for(Millis(500));
		peer.send(textOf(callOf("handed over")));
		const CallerAnswer answer = peer.receive();
		stop.join();
		CPPUNIT_ASSERT_EQUAL(uint16_t(503), answer.status);
		CPPUNIT_ASSERT(nullptr != answer.headers.find("Not-Executed"));
		CPPUNIT_ASSERT_EQUAL(std::size_t(0), runsOf(target, "handed over"));
	}

	/// Guards against connections that are closed without an answer to a call that was admitted before the stop.
	void aCallThatIsStillRunningAtTheEndOfAStopGetsAnErrorResponse()
	{
		std::atomic<Millis> work{Millis(15000)};
		EntryHarness harness;
		addCallTarget(harness, work);
		harness.start();
		TestCaller caller(harness.callerAddress());
		caller.send(textOf(callOf("running")));
		std::thread stop = stopInBackground(harness);
		const CallerAnswer answer = caller.receive();
		stop.join();
		CPPUNIT_ASSERT(answer.whole);
		CPPUNIT_ASSERT_EQUAL(uint16_t(504), answer.status); // 503 would promise that it has not run
	}

private:
	/// @returns how often a request was sent to a target.
	static std::size_t runsOf(const FakeTarget& _target, const std::string& _id)
	{
		std::size_t runs = 0;
		for (const ServerRequest& one : _target.requests())
		{
			const std::string* const id = one.head.headers.find("Attempt-Id");
			runs += nullptr != id && _id == *id ? 1 : 0;
		}
		return runs;
	}

	/// Adds a target that works on each call for some time.
	static FakeTarget& addCallTarget(EntryHarness& _harness, const std::atomic<Millis>& _work)
	{
		const auto self = std::make_shared<FakeTarget*>(nullptr);
		FakeTarget& target = _harness.addPlain(
		    [self, &_work](const std::shared_ptr<ServerConnection>& _caller, const ServerRequest& _request)
		    {
			    (*self)->postAfter(_work,
			                       [_caller, _request]
			                       {
				                       answerWhole(*_caller, _request, 200, _request.body);
			                       });
		    });
		*self = &target;
		return target;
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(StopLateProof);

} // namespace sedgecart

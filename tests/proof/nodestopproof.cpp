// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

// Callers that go on sending to a node while it stops, until its process is gone.

#include "estate.h"

#include <harness/history.h>
#include <http/httpclient.h>

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <chrono>
#include <csignal>
#include <mutex>
#include <random>
#include <set>
#include <thread>

namespace sedgecart
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds kDelay{300};
constexpr milliseconds kBound{1500};
constexpr milliseconds kSlack{5000};       // for its threads to end, which wait for changes of the log and the VM list
constexpr milliseconds kBeforeSignal{150}; // callers are under way when the signal comes
constexpr int kStops = 5;
constexpr int kStopsForEachUnread = 5; // stops for each request that may be closed unread
constexpr int kCallers = 6;
constexpr int kMostPauseMicros = 15000; // between the requests of a caller, so that the node is idle at moments
constexpr uint64_t kLongCallMillis = 30000;
constexpr uint32_t kLongTokens = 3000; // takes far longer than the whole stop

std::vector<std::string> stopOptions()
{
	return {"--stop-delay-ms", std::to_string(kDelay.count()), "--stop-bound-ms", std::to_string(kBound.count())};
}

} // namespace

class NodeStopProof : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(NodeStopProof);
	CPPUNIT_TEST(shortCallsAreAnsweredUntilTheProcessIsGone);
	CPPUNIT_TEST(lateGenerationsAreNotRunAndCut);
	CPPUNIT_TEST(processEndsWithinItsBound);
	CPPUNIT_TEST(moreSignalsCutNothing);
	CPPUNIT_TEST(keptConnectionsAreClosedByAnAnswer);
	CPPUNIT_TEST_SUITE_END();

public:
	void setUp() override
	{
		startTargets(cluster_);
		cluster_.startNode("n1", "a", stopOptions());
		cluster_.configure();
	}

	/// A call that is run must not lose its answer to the end of the process.
	void shortCallsAreAnsweredUntilTheProcessIsGone()
	{
		for (int stop = 0; stop < kStops; ++stop)
		{
			std::vector<std::thread> callers;
			for (int caller = 0; caller < kCallers; ++caller)
			{
				callers.emplace_back(
				    [this, stop, caller]
				    {
					    callUntilGone(stop, caller);
				    });
			}
			std::this_thread::sleep_for(kBeforeSignal);
			node().signal(SIGTERM);
			const bool ended = awaitEnd(kDelay + kBound + kSlack);
			node().kill();
			for (std::thread& caller : callers)
			{
				caller.join();
			}
			CPPUNIT_ASSERT(ended);
			restart();
		}
		std::set<std::string> run;
		for (const ServiceRun& each : readServiceRuns(cluster_, services()))
		{
			run.insert(each.body);
		}
		std::string lost;
		for (const std::string& body : unanswered_)
		{
			lost += 0 == run.count(body) ? std::string() : body + "; ";
		}
		CPPUNIT_ASSERT(0 < answered_);
		CPPUNIT_ASSERT_EQUAL(std::string(), lost);
	}

	/// After the delay nothing is admitted that the end of the stop may cut.
	void lateGenerationsAreNotRunAndCut()
	{
		std::vector<std::thread> callers;
		std::vector<Answer> answers(3);
		node().signal(SIGTERM);
		// A short generation keeps the node in its stop, so that late callers find it.
		callers.emplace_back(
		    [this]
		    {
			    Ask ask;
			    ask.tokens = 100;
			    complete(cluster_.at("n1"), ask);
		    });
		std::this_thread::sleep_for(kDelay + milliseconds(50));
		for (std::size_t index = 0; index < answers.size(); ++index)
		{
			std::this_thread::sleep_for(milliseconds(50));
			callers.emplace_back(
			    [this, &answers, index]
			    {
				    Ask ask;
				    ask.prompt = "late " + std::to_string(index);
				    ask.tokens = kLongTokens;
				    ask.stream = 0 == index % 2;
				    ask.deadlineMs = 60000;
				    answers[index] = complete(cluster_.at("n1"), ask);
			    });
		}
		awaitEnd(kDelay + kBound + kSlack);
		node().kill(); // as the platform does with a process that stays
		for (std::thread& caller : callers)
		{
			caller.join();
		}
		int refusals = 0;
		for (const Answer& answer : answers)
		{
			const bool refused = 503 == answer.status && "no" == answer.ran;
			CPPUNIT_ASSERT_MESSAGE("a late generation was run and cut: " + std::to_string(answer.tokens) + " tokens, " +
			                           answer.errorKind,
			                       refused || answer.refusedConnection);
			refusals += refused ? 1 : 0;
		}
		CPPUNIT_ASSERT(0 < refusals);
	}

	/// Requests that outlast the bound must not keep the process until the platform kills it, unanswered.
	void processEndsWithinItsBound()
	{
		outlastTheBound({});
	}

	/// An operator's haste must not cut requests that the stop still gives time.
	void moreSignalsCutNothing()
	{
		outlastTheBound({SIGTERM, SIGHUP, SIGINT, SIGTERM});
	}

	/// Callers that keep their connection must not meet the end of the process over it, with a request that is unread.
	void keptConnectionsAreClosedByAnAnswer()
	{
		std::atomic<int> unread{0};
		for (int stop = 0; stop < kStops; ++stop)
		{
			std::vector<std::thread> callers;
			for (int caller = 0; caller < kCallers; ++caller)
			{
				callers.emplace_back(
				    [this, stop, caller, &unread]
				    {
					    unread += callUntilClosed(stop, caller) ? 0 : 1;
				    });
			}
			std::this_thread::sleep_for(kBeforeSignal);
			node().signal(SIGTERM);
			CPPUNIT_ASSERT(awaitEnd(kDelay + kBound + kSlack));
			node().kill();
			for (std::thread& caller : callers)
			{
				caller.join();
			}
			restart();
		}
		CPPUNIT_ASSERT_MESSAGE(std::to_string(unread) + " closed unread", unread * kStopsForEachUnread <= kStops);
	}

private:
	void outlastTheBound(const std::vector<int>& _moreSignals)
	{
		for (const std::string& service : services())
		{
			cluster_.setSwitch(service, "delay_ms", kLongCallMillis);
		}
		Answer whole;
		Answer stream;
		Answer call;
		std::vector<std::thread> callers;
		callers.emplace_back(
		    [this, &whole]
		    {
			    whole = askLong(false);
		    });
		callers.emplace_back(
		    [this, &stream]
		    {
			    stream = askLong(true);
		    });
		callers.emplace_back(
		    [this, &call]
		    {
			    call = callService(cluster_.at("n1"), "filing", "", "outlasts the stop");
		    });
		std::this_thread::sleep_for(kBeforeSignal);
		node().signal(SIGTERM);
		for (const int signal : _moreSignals)
		{
			std::this_thread::sleep_for(kDelay);
			node().signal(signal);
		}
		const bool ended = awaitEnd(kDelay + kBound + kSlack);
		node().kill();
		for (std::thread& caller : callers)
		{
			caller.join();
		}
		CPPUNIT_ASSERT(ended);
		CPPUNIT_ASSERT_EQUAL(std::string("stopped_running"), whole.errorKind);
		CPPUNIT_ASSERT_EQUAL(std::string("stopped_running"), stream.errorKind);
		CPPUNIT_ASSERT(!stream.whole);
		CPPUNIT_ASSERT_EQUAL(std::string("stopped_running"), call.errorKind);
	}

	Process& node()
	{
		return *cluster_.node("n1").process;
	}

	Answer askLong(bool _stream)
	{
		Ask ask;
		ask.tokens = kLongTokens;
		ask.stream = _stream;
		ask.deadlineMs = 60000;
		return complete(cluster_.at("n1"), ask);
	}

	/// @returns true if the process has ended by itself within the time.
	bool awaitEnd(milliseconds _most)
	{
		const auto until = steady_clock::now() + _most;
		while (node().running() && steady_clock::now() < until)
		{
			std::this_thread::sleep_for(milliseconds(1));
		}
		return !node().running();
	}

	void restart()
	{
		cluster_.restartNode("n1");
		cluster_.awaitServing();
	}

	/// Half of the callers keep their connection for as long as the node does, the others open one for each call.
	void callUntilGone(int _stop, int _caller)
	{
		std::mt19937 random(static_cast<uint32_t>(_stop * kCallers + _caller));
		std::unique_ptr<HttpClient> client;
		for (int turn = 0;; ++turn)
		{
			if (!client || 0 != _caller % 2 || !client->reusable())
			{
				client = std::make_unique<HttpClient>(cluster_.at("n1"));
			}
			HttpCall call;
			call.method = "POST";
			call.target = "/v1/routes/filing/acknowledge";
			call.body = std::to_string(_stop) + "-" + std::to_string(_caller) + "-" + std::to_string(turn);
			call.headers.push_back({"Authorization", "Bearer caller-key-1"});
			const HttpOutcome outcome = client->call(call, Duration::fromMillis(10000));
			if (CallState::NotSent == outcome.state)
			{
				return;
			}
			note(call.body, CallState::Replied == outcome.state);
			std::this_thread::sleep_for(std::chrono::microseconds(random() % kMostPauseMicros));
		}
	}

	/// @returns false if the connection that it keeps ended under a request.
	bool callUntilClosed(int _stop, int _caller)
	{
		std::mt19937 random(static_cast<uint32_t>(_stop * kCallers + _caller));
		HttpClient client(cluster_.at("n1"));
		do
		{
			HttpCall call;
			call.target = "/v1/routes/filing/acknowledge";
			call.headers.push_back({"Authorization", "Bearer caller-key-1"});
			const CallState::Enum state = client.call(call, Duration::fromMillis(10000)).state;
			if (CallState::Replied != state)
			{
				return CallState::NotSent == state; // it had no connection yet
			}
			std::this_thread::sleep_for(std::chrono::microseconds(random() % kMostPauseMicros));
		} while (client.reusable());
		return true;
	}

	void note(const std::string& _body, bool _answered)
	{
		const std::lock_guard<std::mutex> lock(mutex_);
		answered_ += _answered ? 1 : 0;
		if (!_answered)
		{
			unanswered_.push_back(_body);
		}
	}

	Cluster cluster_;
	std::mutex mutex_;
	uint64_t answered_ = 0;
	std::vector<std::string> unanswered_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(NodeStopProof);

} // namespace sedgecart

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

// Point 3: what sedgecart calls "not run" was truly not run. Judged by the targets' ledgers.

#include "estate.h"

#include <harness/history.h>

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <mutex>
#include <set>
#include <thread>

namespace sedgecart
{

class NotRunProof : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(NotRunProof);
	CPPUNIT_TEST(refusingTargets);
	CPPUNIT_TEST(deadTargets);
	CPPUNIT_TEST(overload);
	CPPUNIT_TEST(badRequests);
	CPPUNIT_TEST(killsUnderLoad);
	CPPUNIT_TEST(routeOfTheOtherSide);
	CPPUNIT_TEST(customerOverItsLimit);
	CPPUNIT_TEST(nodeThatStillReadsTheLog);
	CPPUNIT_TEST_SUITE_END();

public:
	void setUp() override
	{
		startUsual(cluster_);
	}

	void refusingTargets()
	{
		for (const std::string& engine : engines())
		{
			cluster_.setSwitch(engine, "refuse", 1);
		}
		for (const std::string& service : services())
		{
			cluster_.setSwitch(service, "refuse", 1);
		}
		note(complete(cluster_.at("n1"), Ask()));
		note(callService(cluster_.at("n1"), "filing", "", "call"));
		note(callService(cluster_.at("n1"), "filing", "key-refused", "call"));
		CPPUNIT_ASSERT_EQUAL(std::size_t{3}, notRun_.size());
		checkLedgers();
		// It truly was not run, so the same key may be used again.
		for (const std::string& service : services())
		{
			cluster_.setSwitch(service, "refuse", 0);
		}
		CPPUNIT_ASSERT(eventually(
		    [this]
		    {
			    return 200 == callService(cluster_.at("n2"), "filing", "key-refused", "call").status;
		    }));
	}

	void deadTargets()
	{
		for (const std::string& service : services())
		{
			cluster_.standin(service).process->kill();
		}
		cluster_.standin("a-tail").process->kill();
		cluster_.standin("b-tail").process->kill();
		for (int turn = 0; turn < 5; ++turn)
		{
			Ask ask;
			ask.deadlineMs = 3000;
			note(complete(cluster_.at("n1"), ask));
			note(callService(cluster_.at("n2"), "filing", "key-" + std::to_string(turn), "call"));
		}
		CPPUNIT_ASSERT(!notRun_.empty());
		checkLedgers();
	}

	void overload()
	{
		std::vector<std::thread> callers;
		for (int caller = 0; caller < 60; ++caller)
		{
			callers.emplace_back(
			    [this]
			    {
				    Ask ask;
				    ask.tokens = 100;
				    ask.deadlineMs = 1500;
				    note(complete(cluster_.at("n1"), ask));
			    });
		}
		join(callers);
		CPPUNIT_ASSERT(!notRun_.empty());
		CPPUNIT_ASSERT(toldWhen_);
		checkLedgers();
	}

	void badRequests()
	{
		Ask unknownKey;
		unknownKey.key = "nobody's key";
		Ask unknownRoute;
		unknownRoute.route = "nowhere";
		Ask tooMany;
		tooMany.tokens = 1000000;
		for (const Ask& ask : {unknownKey, unknownRoute, tooMany})
		{
			note(complete(cluster_.at("n3"), ask));
		}
		note(callService(cluster_.at("n3"), "draft", "", "a model route is no service"));
		CPPUNIT_ASSERT_EQUAL(std::size_t{4}, notRun_.size());
		checkLedgers();
	}

	void killsUnderLoad()
	{
		std::atomic<bool> stop{false};
		std::vector<std::thread> callers;
		for (int caller = 0; caller < 6; ++caller)
		{
			callers.emplace_back(
			    [this, caller, &stop]
			    {
				    for (int turn = 0; !stop && turn < 400; ++turn)
				    {
					    const std::string node = "n" + std::to_string(1 + turn % 3);
					    const std::string key = std::to_string(caller) + "-" + std::to_string(turn);
					    note(0 == caller % 2 ? complete(cluster_.at(node), Ask())
					                         : callService(cluster_.at(node), "filing", key, "call"));
				    }
			    });
		}
		std::this_thread::sleep_for(std::chrono::milliseconds(300));
		for (const char* const victim : {"filing-1", "a-tail", "b-head", "filing-2"})
		{
			cluster_.standin(victim).process->kill();
			std::this_thread::sleep_for(std::chrono::milliseconds(300));
		}
		stop = true;
		join(callers);
		CPPUNIT_ASSERT(!notRun_.empty());
		checkLedgers();
	}

	void routeOfTheOtherSide()
	{
		// n1 waits for the nodes that it knows. n2 is asked once it has confirmed the routes: a busy machine may take
		// longer than the usual wait.
		CPPUNIT_ASSERT(cluster_.awaitPeers());
		constexpr uint32_t kWaitMs = 60000;
		for (const char* const route : {"add route payments kind=service model=filing holder=new",
		                                "add route answers model=draft-7b layers=32 holder=new"})
		{
			const Cluster::CommandResult added = cluster_.command("n1", route, kWaitMs);
			CPPUNIT_ASSERT(added.reply.accepted());
			CPPUNIT_ASSERT_EQUAL(0, added.reply.unconfirmed_size());
		}
		Ask ask;
		ask.route = "answers";
		const Answer model = complete(cluster_.at("n2"), ask);
		const Answer service = callService(cluster_.at("n2"), "payments", "key", "call");
		CPPUNIT_ASSERT_EQUAL(std::string("route_elsewhere"), model.errorKind);
		CPPUNIT_ASSERT_EQUAL(std::string("route_elsewhere"), service.errorKind);
		note(model);
		note(service);
		checkLedgers();
	}

	void customerOverItsLimit()
	{
		// Streams of one route hold every slot that n1 may use; a burst on another route has to wait.
		cluster_.command("n1", "add route burst model=draft-7b layers=32");
		std::atomic<bool> done{false};
		std::atomic<int> holding{0};
		std::vector<std::thread> callers;
		for (int caller = 0; caller < 24; ++caller)
		{
			callers.emplace_back(
			    [this, &done, &holding]
			    {
				    Ask ask;
				    ask.tokens = 4000;
				    ask.deadlineMs = 600000;
				    ask.onToken = [&done, &holding](uint32_t _tokens)
				    {
					    holding += 1 == _tokens ? 1 : 0;
					    return !done;
				    };
				    note(complete(cluster_.at("n1"), ask));
			    });
		}
		CPPUNIT_ASSERT(eventually(
		    [&holding]
		    {
			    return 8 <= holding;
		    }));
		std::atomic<int> overLimit{0};
		std::vector<std::thread> burst;
		for (int caller = 0; caller < 400; ++caller)
		{
			burst.emplace_back(
			    [this, &overLimit]
			    {
				    Ask ask;
				    ask.route = "burst";
				    ask.deadlineMs = 60000;
				    const Answer answer = complete(cluster_.at("n1"), ask);
				    overLimit += "customer_over_limit" == answer.errorKind ? 1 : 0;
				    note(answer);
			    });
		}
		join(burst);
		done = true;
		join(callers);
		CPPUNIT_ASSERT(0 < overLimit);
		CPPUNIT_ASSERT(toldWhen_);
		checkLedgers();
	}

	void nodeThatStillReadsTheLog()
	{
		// More records than one read brings, and a log that gives out half of them: until it goes on, the node knows
		// half of the keys.
		constexpr uint64_t kHeldFrom = 150;
		for (int turn = 0; turn < 300; ++turn)
		{
			callService(cluster_.at("n1"), "filing", "old-" + std::to_string(turn), "call");
		}
		cluster_.node("n2").process->kill();
		cluster_.setSwitch("platform", "hold_from", kHeldFrom);
		cluster_.restartNode("n2");
		CPPUNIT_ASSERT(eventually(
		    [this]
		    {
			    const Answer answer = callService(cluster_.at("n2"), "filing", "old-299", "call");
			    CPPUNIT_ASSERT(200 != answer.status || answer.kept);
			    note(answer);
			    return "catching_up" == answer.errorKind;
		    }));
		cluster_.setSwitch("platform", "hold_from", 0);
		CPPUNIT_ASSERT(eventually(
		    [this]
		    {
			    return callService(cluster_.at("n2"), "filing", "old-299", "call").kept;
		    }));
		checkLedgers();
	}

private:
	static void join(std::vector<std::thread>& _threads)
	{
		for (std::thread& thread : _threads)
		{
			thread.join();
		}
	}

	void note(const Answer& _answer)
	{
		const std::lock_guard<std::mutex> lock(mutex_);
		if ("no" == _answer.ran)
		{
			notRun_.insert(_answer.request);
			toldWhen_ = toldWhen_ && 0 < _answer.retryAfterMs;
		}
	}

	void checkLedgers()
	{
		const std::vector<LayerRun> layers = readLayerRuns(cluster_, engines());
		const std::vector<ServiceRun> calls = readServiceRuns(cluster_, services());
		for (const std::string& request : notRun_)
		{
			CPPUNIT_ASSERT_EQUAL_MESSAGE(request, uint32_t{0}, runsOf(layers, request) + runsOf(calls, request));
		}
	}

	Cluster cluster_;
	std::mutex mutex_;
	std::set<std::string> notRun_;
	bool toldWhen_ = true;
};

CPPUNIT_TEST_SUITE_REGISTRATION(NotRunProof);

} // namespace sedgecart

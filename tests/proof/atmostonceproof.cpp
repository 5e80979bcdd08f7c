// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

// Point 4: a call that may not be repeated runs at most once. Judged by the services' ledgers.

#include "estate.h"

#include <harness/history.h>

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <csignal>
#include <functional>
#include <thread>

namespace sedgecart
{

class AtMostOnceProof : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(AtMostOnceProof);
	CPPUNIT_TEST(sameKeyAtOnceOnAllNodes);
	CPPUNIT_TEST(lostReplyIsFetchedFromAnotherNode);
	CPPUNIT_TEST(nodesKilledWhileCallersTryAgainElsewhere);
	CPPUNIT_TEST(frozenNodeWakesUp);
	CPPUNIT_TEST(logAnswersLost);
	CPPUNIT_TEST(logFrozenThenTakesEffect);
	CPPUNIT_TEST(logAtItsRateLimit);
	CPPUNIT_TEST(logOutRefusesAtOnce);
	CPPUNIT_TEST(targetLostIsNotTriedAgain);
	CPPUNIT_TEST(keyOfAnotherCallIsRefused);
	CPPUNIT_TEST(customersKeysAreApart);
	CPPUNIT_TEST(replacedNodesKnowOldKeys);
	CPPUNIT_TEST_SUITE_END();

public:
	void setUp() override
	{
		startUsual(cluster_);
		CPPUNIT_ASSERT(cluster_.awaitPeers());
	}

	void sameKeyAtOnceOnAllNodes()
	{
		std::vector<std::thread> callers;
		std::atomic<int> answered{0};
		for (int caller = 0; caller < 12; ++caller)
		{
			callers.emplace_back(
			    [this, caller, &answered]
			    {
				    for (int key = 0; key < 20; ++key)
				    {
					    const std::string node = "n" + std::to_string(1 + caller % 3);
					    answered += 200 == call(node, "key-" + std::to_string(key)).status ? 1 : 0;
				    }
			    });
		}
		join(callers);
		CPPUNIT_ASSERT(20 <= answered);
		CPPUNIT_ASSERT_EQUAL(std::size_t{20}, countKeys());
		expectNoKeyTwice();
	}

	void lostReplyIsFetchedFromAnotherNode()
	{
		const Answer first = call("n1", "rent");
		CPPUNIT_ASSERT_EQUAL(uint16_t{200}, first.status);
		CPPUNIT_ASSERT(eventually(
		    [this, &first]
		    {
			    const Answer again = call("n3", "rent");
			    return again.kept && again.body == first.body;
		    }));
		expectNoKeyTwice();
	}

	void nodesKilledWhileCallersTryAgainElsewhere()
	{
		std::atomic<bool> stop{false};
		std::vector<std::thread> callers = startCallers(stop,
		                                                [this](const std::string& _key)
		                                                {
			                                                insist(_key);
		                                                });
		for (int turn = 0; turn < 6; ++turn)
		{
			std::this_thread::sleep_for(std::chrono::milliseconds(150));
			const std::string victim = "n" + std::to_string(1 + turn % 3);
			cluster_.node(victim).process->kill();
			cluster_.restartNode(victim);
		}
		stop = true;
		join(callers);
		CPPUNIT_ASSERT(10 < countKeys());
		expectNoKeyTwice();
	}

	void frozenNodeWakesUp()
	{
		std::atomic<bool> stop{false};
		std::vector<std::thread> callers = startCallers(stop,
		                                                [this](const std::string& _key)
		                                                {
			                                                askAllAtOnce(_key);
		                                                });
		std::this_thread::sleep_for(std::chrono::milliseconds(200));
		for (int turn = 0; turn < 2; ++turn)
		{
			cluster_.node("n1").process->signal(SIGSTOP);
			// Longer than the wait for a claim and than a peer's silence.
			std::this_thread::sleep_for(std::chrono::milliseconds(4000));
			cluster_.node("n1").process->signal(SIGCONT);
			std::this_thread::sleep_for(std::chrono::milliseconds(300));
		}
		stop = true;
		join(callers);
		CPPUNIT_ASSERT(0 < countKeys());
		expectNoKeyTwice();
	}

	void logAnswersLost()
	{
		cluster_.setSwitch("platform", "lose_answers", 30);
		std::vector<std::thread> callers;
		for (int caller = 0; caller < 6; ++caller)
		{
			callers.emplace_back(
			    [this, caller]
			    {
				    for (int turn = 0; turn < 15; ++turn)
				    {
					    insist("key-" + std::to_string(caller % 3) + "-" + std::to_string(turn));
				    }
			    });
		}
		join(callers);
		CPPUNIT_ASSERT_EQUAL(std::size_t{45}, countKeys());
		expectNoKeyTwice();
	}

	void logFrozenThenTakesEffect()
	{
		// The appends are under way when the log freezes; they take effect long after every node has given up on them.
		cluster_.standin("platform").process->signal(SIGSTOP);
		std::vector<std::thread> callers;
		std::atomic<int> refused{0};
		for (int caller = 0; caller < 6; ++caller)
		{
			callers.emplace_back(
			    [this, caller, &refused]
			    {
				    refused += "no" == call("n" + std::to_string(1 + caller % 3), "rent").ran ? 1 : 0;
			    });
		}
		join(callers);
		cluster_.standin("platform").process->signal(SIGCONT);
		CPPUNIT_ASSERT_EQUAL(6, refused.load());
		CPPUNIT_ASSERT_EQUAL(std::size_t{0}, countKeys());
		CPPUNIT_ASSERT_EQUAL(std::string(), insist("rent").errorKind);
		CPPUNIT_ASSERT_EQUAL(std::size_t{1}, countKeys());
		expectNoKeyTwice();
	}

	void logAtItsRateLimit()
	{
		// Far more claims than appends: they share appends, none is refused.
		cluster_.setSwitch("platform", "appends_per_second", 10);
		std::vector<std::thread> callers;
		std::atomic<int> answered{0};
		for (int caller = 0; caller < 12; ++caller)
		{
			callers.emplace_back(
			    [this, caller, &answered]
			    {
				    for (int turn = 0; turn < 5; ++turn)
				    {
					    const std::string key = std::to_string(caller) + "-" + std::to_string(turn);
					    answered += 200 == call("n1", key).status ? 1 : 0;
				    }
			    });
		}
		join(callers);
		CPPUNIT_ASSERT_EQUAL(60, answered.load());
		expectNoKeyTwice();
	}

	void logOutRefusesAtOnce()
	{
		cluster_.setSwitch("platform", "outage", 1);
		CPPUNIT_ASSERT(eventually(
		    [this]
		    {
			    return "log_out" == call("n1", "during outage").errorKind;
		    }));
		const Answer refused = call("n1", "during outage");
		CPPUNIT_ASSERT_EQUAL(std::string("no"), refused.ran);
		CPPUNIT_ASSERT(0 < refused.retryAfterMs);
		// What may be repeated goes on.
		CPPUNIT_ASSERT(complete(cluster_.at("n1"), Ask()).whole);
		CPPUNIT_ASSERT_EQUAL(uint16_t{200}, call("n1", "").status);
		cluster_.setSwitch("platform", "outage", 0);
		CPPUNIT_ASSERT(eventually(
		    [this]
		    {
			    return 200 == call("n1", "during outage").status;
		    }));
		expectNoKeyTwice();
	}

	void targetLostIsNotTriedAgain()
	{
		for (const std::string& service : services())
		{
			cluster_.setSwitch(service, "lose_answer", 1);
		}
		const Answer lost = call("n1", "transfer");
		CPPUNIT_ASSERT_EQUAL(std::string("target_lost"), lost.errorKind);
		CPPUNIT_ASSERT_EQUAL(std::string("unknown"), lost.ran);
		CPPUNIT_ASSERT(eventually(
		    [this]
		    {
			    return "claim_unknown" == call("n2", "transfer").errorKind;
		    }));
		CPPUNIT_ASSERT_EQUAL(std::size_t{1}, countKeys());
		expectNoKeyTwice();
	}

	void keyOfAnotherCallIsRefused()
	{
		CPPUNIT_ASSERT_EQUAL(uint16_t{200}, call("n1", "key").status);
		const Answer other = callService(cluster_.at("n1"), "filing", "key", "another body");
		CPPUNIT_ASSERT_EQUAL(std::string("claim_mismatch"), other.errorKind);
	}

	void customersKeysAreApart()
	{
		const Answer first = call("n1", "shared");
		const Answer second = callService(cluster_.at("n1"), "filing", "shared", "pay", "caller-key-2");
		CPPUNIT_ASSERT_EQUAL(uint16_t{200}, second.status);
		CPPUNIT_ASSERT(!second.kept);
		CPPUNIT_ASSERT(first.body != second.body);
	}

	void replacedNodesKnowOldKeys()
	{
		const Answer first = call("n1", "before");
		CPPUNIT_ASSERT_EQUAL(uint16_t{200}, first.status);
		CPPUNIT_ASSERT(eventually(
		    [this]
		    {
			    return call("n2", "before").kept;
		    }));
		for (const std::string& node : cluster_.nodeNames())
		{
			cluster_.node(node).process->kill();
		}
		for (const std::string& node : cluster_.nodeNames())
		{
			cluster_.restartNode(node);
		}
		CPPUNIT_ASSERT(eventually(
		    [this, &first]
		    {
			    return call("n3", "before").body == first.body;
		    }));
		expectNoKeyTwice();
	}

private:
	Answer call(const std::string& _node, const std::string& _key)
	{
		return callService(cluster_.at(_node), "filing", _key, "pay");
	}

	/// A caller that goes from node to node until it gets an answer that is final.
	/// @returns the last answer.
	Answer insist(const std::string& _key)
	{
		Answer answer;
		for (int turn = 0; turn < 200; ++turn)
		{
			answer = call("n" + std::to_string(1 + turn % 3), _key);
			if (200 == answer.status || "claim_unknown" == answer.errorKind)
			{
				return answer;
			}
			std::this_thread::sleep_for(std::chrono::milliseconds(50));
		}
		return answer;
	}

	/// The other nodes are asked too while n1, which may be frozen, still holds the call.
	void askAllAtOnce(const std::string& _key)
	{
		std::thread frozen(
		    [this, &_key]
		    {
			    call("n1", _key);
		    });
		call("n2", _key);
		call("n3", _key);
		frozen.join();
	}

	/// Six callers, each with one new key after the other until they are told to stop.
	static std::vector<std::thread> startCallers(const std::atomic<bool>& _stop,
	                                             const std::function<void(const std::string&)>& _ask)
	{
		std::vector<std::thread> callers;
		for (int caller = 0; caller < 6; ++caller)
		{
			callers.emplace_back(
			    [caller, &_stop, _ask]
			    {
				    for (int turn = 0; !_stop; ++turn)
				    {
					    _ask("key-" + std::to_string(caller) + "-" + std::to_string(turn));
				    }
			    });
		}
		return callers;
	}

	static void join(std::vector<std::thread>& _threads)
	{
		for (std::thread& thread : _threads)
		{
			thread.join();
		}
	}

	std::size_t countKeys()
	{
		std::set<std::string> keys;
		for (const ServiceRun& run : readServiceRuns(cluster_, services()))
		{
			keys.insert(run.key);
		}
		keys.erase(std::string());
		return keys.size();
	}

	void expectNoKeyTwice()
	{
		std::string twice;
		for (const auto& key : keysRunTwice(readServiceRuns(cluster_, services())))
		{
			twice += key.first + " ran " + std::to_string(key.second) + " times; ";
		}
		CPPUNIT_ASSERT_EQUAL(std::string(), twice);
	}

	Cluster cluster_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(AtMostOnceProof);

} // namespace sedgecart

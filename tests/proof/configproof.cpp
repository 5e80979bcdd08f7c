// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

// Point 7: an accepted configuration is in force everywhere within seconds and never goes back.

#include "estate.h"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <set>
#include <thread>

namespace sedgecart
{

class ConfigProof : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(ConfigProof);
	CPPUNIT_TEST(racingOperatorsHaveOneWinner);
	CPPUNIT_TEST(appendAnswersLost);
	CPPUNIT_TEST(outageRightAfterAcceptance);
	CPPUNIT_TEST(emptyNodeLearnsFromPeersWhileLogIsOut);
	CPPUNIT_TEST(replacedNodesAgree);
	CPPUNIT_TEST(retentionPassed);
	CPPUNIT_TEST(anotherLogIsRefused);
	CPPUNIT_TEST(undoIsANewChange);
	CPPUNIT_TEST(racingMovesHaveOneWinner);
	CPPUNIT_TEST_SUITE_END();

public:
	void setUp() override
	{
		startUsual(cluster_);
		CPPUNIT_ASSERT(cluster_.awaitPeers());
	}

	void racingOperatorsHaveOneWinner()
	{
		cluster_.command("n1", "add route payments model=draft-7b layers=32 holder=old");
		cluster_.command("n1", "release route payments from old");
		std::vector<std::thread> operators;
		std::atomic<int> won{0};
		for (int turn = 0; turn < 9; ++turn)
		{
			operators.emplace_back(
			    [this, turn, &won]
			    {
				    const std::string node = "n" + std::to_string(1 + turn % 3);
				    const std::string side = 0 == turn % 2 ? "old" : "new";
				    won += 200 == cluster_.command(node, "take route payments for " + side).status ? 1 : 0;
			    });
		}
		for (std::thread& one : operators)
		{
			one.join();
		}
		CPPUNIT_ASSERT_EQUAL(1, won.load());
		expectAgreement();
	}

	void appendAnswersLost()
	{
		const std::string before = cluster_.dumpField("n1", "config_next");
		cluster_.setSwitch("platform", "lose_answers", 2);
		const Cluster::CommandResult result = cluster_.command("n1", "drain target a-tail");
		CPPUNIT_ASSERT_EQUAL(uint16_t{200}, result.status);
		CPPUNIT_ASSERT_EQUAL(0, result.reply.unconfirmed_size());
		expectAgreement();
	}

	void outageRightAfterAcceptance()
	{
		// Accepted is what the log took; every node has it although the log is gone the moment after.
		const Cluster::CommandResult result = cluster_.command("n1", "drain target a-tail", 0);
		cluster_.setSwitch("platform", "outage", 1);
		CPPUNIT_ASSERT_EQUAL(uint16_t{200}, result.status);
		const std::string next = std::to_string(result.reply.offset() + 1);
		for (const std::string& node : cluster_.nodeNames())
		{
			CPPUNIT_ASSERT(eventually(
			    [this, &node, &next]
			    {
				    return next == cluster_.dumpField(node, "config_next");
			    }));
		}
		const Cluster::CommandResult during = cluster_.command("n2", "drain target b-tail");
		CPPUNIT_ASSERT_EQUAL(uint16_t{503}, during.status);
		expectAgreement();
	}

	void emptyNodeLearnsFromPeersWhileLogIsOut()
	{
		cluster_.command("n1", "drain target a-tail");
		cluster_.setSwitch("platform", "outage", 1);
		cluster_.node("n2").process->kill();
		const std::string digest = cluster_.dumpField("n1", "config_digest");
		// The VM list is out too, so the new node is told its peers by its settings.
		cluster_.startNode("n5", "a", {"--peers", cluster_.node("n1").peer + "," + cluster_.node("n3").peer});
		CPPUNIT_ASSERT(eventually(
		    [this, &digest]
		    {
			    return digest == cluster_.dumpField("n5", "config_digest");
		    }));
		CPPUNIT_ASSERT(eventually(
		    [this]
		    {
			    return complete(cluster_.at("n5"), Ask()).whole;
		    }));
	}

	void replacedNodesAgree()
	{
		for (int turn = 0; turn < 3; ++turn)
		{
			const std::string victim = "n" + std::to_string(1 + turn);
			cluster_.node(victim).process->kill();
			const std::string other = "n" + std::to_string(1 + (turn + 1) % 3);
			cluster_.command(other, 0 == turn % 2 ? "drain target a-head" : "resume target a-head", 0);
			cluster_.restartNode(victim);
		}
		expectAgreement();
	}

	void retentionPassed()
	{
		// The log keeps 40 records of each stream; what came first is gone when the new nodes start.
		cluster_.setSwitch("platform", "retention", 40);
		for (int turn = 0; turn < 30; ++turn)
		{
			cluster_.command("n1", "drain target a-tail");
			cluster_.command("n1", "resume target a-tail");
			// Retention is a matter of hours; a burst that outruns the images within a blink is not the point.
			std::this_thread::sleep_for(std::chrono::milliseconds(100));
		}
		const std::string digest = cluster_.dumpField("n1", "config_digest");
		for (const std::string& node : cluster_.nodeNames())
		{
			cluster_.node(node).process->kill();
		}
		for (const std::string& node : cluster_.nodeNames())
		{
			cluster_.restartNode(node);
		}
		for (const std::string& node : cluster_.nodeNames())
		{
			CPPUNIT_ASSERT(eventually(
			    [this, &node, &digest]
			    {
				    return digest == cluster_.dumpField(node, "config_digest");
			    }));
		}
		CPPUNIT_ASSERT(eventually(
		    [this]
		    {
			    return complete(cluster_.at("n2"), Ask()).whole;
		    }));
	}

	void anotherLogIsRefused()
	{
		const std::string digest = cluster_.dumpField("n1", "config_digest");
		const Endpoint endpoint = cluster_.standin("platform").endpoint;
		cluster_.standin("platform").process->kill();
		const std::string address = endpoint.ip + ":" + std::to_string(endpoint.port);
		const char* const folder = std::getenv("SEDGECART_BINARIES");
		const Process other({std::string(nullptr == folder ? "." : folder) + "/tests/standin", "platform", "--name",
		                     "another-log", "--listen", address},
		                    cluster_.outputOf("platform"));
		CPPUNIT_ASSERT(eventually(
		    [this]
		    {
			    return 200 != cluster_.command("n1", "drain target a-tail").status;
		    }));
		CPPUNIT_ASSERT_EQUAL(digest, cluster_.dumpField("n1", "config_digest"));
		CPPUNIT_ASSERT(complete(cluster_.at("n1"), Ask()).whole);
	}

	void undoIsANewChange()
	{
		const Cluster::CommandResult drain = cluster_.command("n1", "drain target a-tail");
		CPPUNIT_ASSERT_EQUAL(uint16_t{200}, drain.status);
		const std::string offset = std::to_string(drain.reply.offset());
		const Cluster::CommandResult undo = cluster_.command("n3", "undo " + offset);
		CPPUNIT_ASSERT_EQUAL(uint16_t{200}, undo.status);
		CPPUNIT_ASSERT(drain.reply.offset() < undo.reply.offset());
		const std::string idle = "show targets where name = a-tail and state = active";
		CPPUNIT_ASSERT_EQUAL(1, cluster_.command("n2", idle).reply.rows_size());
		// Something has touched it since, so there is nothing to take back.
		CPPUNIT_ASSERT_EQUAL(uint16_t{409}, cluster_.command("n1", "undo " + offset).status);
		CPPUNIT_ASSERT_EQUAL(uint16_t{400}, cluster_.command("n1", "undo 999999").status);
		CPPUNIT_ASSERT_EQUAL(uint16_t{400}, cluster_.command("n1", "undo yesterday").status);
		expectAgreement();
	}

	void racingMovesHaveOneWinner()
	{
		cluster_.command("n1", "add route payments model=draft-7b layers=32 holder=old");
		std::vector<std::thread> operators;
		std::atomic<int> won{0};
		for (int turn = 0; turn < 9; ++turn)
		{
			operators.emplace_back(
			    [this, turn, &won]
			    {
				    const std::string node = "n" + std::to_string(1 + turn % 3);
				    const std::string to = "side-" + std::to_string(turn);
				    won += 200 == cluster_.command(node, "move route payments from old to " + to).status ? 1 : 0;
			    });
		}
		for (std::thread& one : operators)
		{
			one.join();
		}
		CPPUNIT_ASSERT_EQUAL(1, won.load());
		expectAgreement();
	}

private:
	/// Every node ends up with the same configuration.
	void expectAgreement()
	{
		CPPUNIT_ASSERT(eventually(
		    [this]
		    {
			    std::set<std::string> digests;
			    for (const std::string& node : cluster_.nodeNames())
			    {
				    digests.insert(cluster_.dumpField(node, "config_digest"));
			    }
			    return 1 == digests.size() && !digests.begin()->empty();
		    }));
	}

	Cluster cluster_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigProof);

} // namespace sedgecart

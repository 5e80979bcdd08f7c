// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

// Point 1: for every token, every layer runs exactly once, in order. Judged by the engines' ledgers.

#include "estate.h"

#include <harness/history.h>
#include <standin/tokentext.h>

#include <cppunit/extensions/HelperMacros.h>

#include <csignal>
#include <functional>
#include <future>

namespace sedgecart
{

namespace
{

constexpr uint32_t kStrikeAt = 10; // tokens that the caller has
constexpr uint32_t kHeldAt = 13;   // this token and all later ones wait for the strike

} // namespace

class LayersProof : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(LayersProof);
	CPPUNIT_TEST(killedTail);
	CPPUNIT_TEST(killedHead);
	CPPUNIT_TEST(frozenTailComesBackLate);
	CPPUNIT_TEST(frozenHeadComesBackLate);
	CPPUNIT_TEST(cutLink);
	CPPUNIT_TEST(missingReceipt);
	CPPUNIT_TEST(slowedStageIsLeft);
	CPPUNIT_TEST(slowedLinkIsLeft);
	CPPUNIT_TEST_SUITE_END();

public:
	void killedTail()
	{
		breakMidStream(
		    [this]
		    {
			    cluster_.standin("a-tail").process->kill();
			    letGo();
		    });
	}

	void killedHead()
	{
		breakMidStream(
		    [this]
		    {
			    cluster_.standin("a-head").process->kill();
		    });
	}

	void frozenTailComesBackLate()
	{
		breakMidStream(
		    [this]
		    {
			    cluster_.standin("a-tail").process->signal(SIGSTOP);
			    letGo();
		    });
		cluster_.standin("a-tail").process->signal(SIGCONT);
		checkAnswer(complete(cluster_.at("n1"), ask()));
	}

	void frozenHeadComesBackLate()
	{
		breakMidStream(
		    [this]
		    {
			    cluster_.standin("a-head").process->signal(SIGSTOP);
		    });
		cluster_.standin("a-head").process->signal(SIGCONT);
		letGo();
		checkAnswer(complete(cluster_.at("n1"), ask()));
	}

	void cutLink()
	{
		breakMidStream(
		    [this]
		    {
			    cluster_.setSwitch("a-head", "cut", 1);
			    letGo();
		    });
	}

	void missingReceipt()
	{
		breakMidStream(
		    [this]
		    {
			    cluster_.setSwitch("a-head", "skip_receipt", 1);
			    letGo();
		    });
		CPPUNIT_ASSERT(0 < cluster_.metric("n1", "sedgecart_broken_attempts_total"));
	}

	void slowedStageIsLeft()
	{
		// Not slow enough to count as silent.
		breakMidStream(
		    [this]
		    {
			    cluster_.setSwitch("a-tail", "slow", 60);
			    letGo();
		    },
		    "sedgecart_moves_total");
	}

	void slowedLinkIsLeft()
	{
		// The first chain crosses the halls.
		cluster_.command("n1", "resume hall b");
		cluster_.command("n1", "drain target a-tail");
		cluster_.command("n1", "drain target b-head");
		breakMidStream(
		    [this]
		    {
			    cluster_.setSwitch("a-head", "slow_link", 200);
			    letGo();
		    },
		    "sedgecart_moves_total", {"resume target a-tail", "resume target b-head"});
	}

	void setUp() override
	{
		startUsual(cluster_);
		// The chain of the first attempt is known: the other hall is drained until the stream runs.
		cluster_.command("n1", "drain hall b");
	}

private:
	static Ask ask()
	{
		Ask made;
		made.tokens = 40;
		made.prompt = "explain the notice";
		return made;
	}

	/// Strikes in the middle of a stream; the answer must be whole, and the metric tell how it went on.
	/// @param _break strikes, and lets the stream go if its head still listens.
	/// @param _others statements that bring the chains that the stream can go on over.
	void breakMidStream(const std::function<void()>& _break, const std::string& _metric = "sedgecart_resumes_total",
	                    const std::vector<std::string>& _others = {"resume hall b"})
	{
		cluster_.setSwitch("a-head", "hold_token", 1);
		std::future<void> opening = std::async(std::launch::async,
		                                       [this, &_others]
		                                       {
			                                       openOthers(_others);
		                                       });
		Ask made = ask();
		made.onToken = [this, &_break, &_metric](uint32_t _tokens)
		{
			if (kStrikeAt == _tokens)
			{
				CPPUNIT_ASSERT_EQUAL(uint64_t{0}, cluster_.metric("n1", _metric));
				_break();
			}
			return true;
		};
		const Answer answer = complete(cluster_.at("n1"), made);
		opening.get();
		checkAnswer(answer);
		CPPUNIT_ASSERT(0 < cluster_.metric("n1", _metric));
	}

	/// Brings the other chains into force while the stream waits for its first token: a statement may take longer than
	/// the whole stream. Then the stream goes on until it is struck.
	void openOthers(const std::vector<std::string>& _statements)
	{
		CPPUNIT_ASSERT(eventually(
		    [this]
		    {
			    return 1 == cluster_.activeAt("a-head");
		    }));
		for (const std::string& statement : _statements)
		{
			CPPUNIT_ASSERT_EQUAL(uint16_t{200}, cluster_.command("n1", statement).status);
		}
		cluster_.setSwitch("a-head", "hold_token", kHeldAt);
	}

	void letGo()
	{
		cluster_.setSwitch("a-head", "hold_token", 0);
	}

	void checkAnswer(const Answer& _answer)
	{
		CPPUNIT_ASSERT_EQUAL(std::string(), _answer.errorKind);
		CPPUNIT_ASSERT(_answer.whole);
		CPPUNIT_ASSERT_EQUAL(answerText(ask().prompt, ask().tokens), _answer.text);
		const std::vector<LayerRun> runs = readLayerRuns(cluster_, engines());
		CPPUNIT_ASSERT_EQUAL(std::string(), checkLayers(runs, _answer.request, ask().tokens, kLayers));
	}

	Cluster cluster_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(LayersProof);

} // namespace sedgecart

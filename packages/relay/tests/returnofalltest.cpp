// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "../src/targetchooser_p.h"

#include <base/seededrandom.h>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <memory>
#include <vector>

namespace sedgecart
{

namespace
{

constexpr uint32_t kNodes = 20;          // of one hall
constexpr uint32_t kHeads = 4;           // that hold the first layers
constexpr uint32_t kSlots = 100;         // of a head
constexpr uint32_t kTokens = 100;        // of a request
constexpr uint32_t kRequestsOfNode = 16; // that come within the return: four fifths of all slots
constexpr uint32_t kReportEvery = 8;     // requests of a node; what it reports is told one report later

/// What is under way at a target.
struct Amount
{
	uint32_t requests = 0;
	uint64_t tokenLayers = 0;
};

/// What one node knows of a hall: heads of a fast and of slower cards before one large tail.
class NodeView
{
public:
	NodeView()
	{
		spec_.name = "engine";
		spec_.hasEngine = true;
		spec_.engine.layers = 8;
		spec_.engine.layerMb = 100;
		spec_.engine.kvBytesPerToken = 8e4;
		spec_.engine.stepMs = 10;
		fast_ = CardKind{"fast", 100000, 1, 1};
		slow_ = CardKind{"slow", 100000, 2, 2};
		service.spec = &spec_;
		service.halls = 1;
		for (uint32_t head = 0; head < kHeads; ++head)
		{
			add(LayerSpan{0, 4}, 0 == head ? fast_ : slow_);
		}
		add(LayerSpan{4, 8}, fast_);
	}

	/// @returns the head that a request goes to.
	uint32_t send(RandomI& _random, const Mechanisms& _mechanisms)
	{
		Choice choice;
		ChoiceQuery query{service, failed_, kNodes, kTokens, Time{1}, _mechanisms};
		query.hallPeers = kNodes - 1;
		CPPUNIT_ASSERT(SendOutcome::Begun == choosePath(query, _random, choice));
		for (const PathPart& part : choice.parts)
		{
			load(part.candidate).tokenLayers += kTokens * part.layers.size();
		}
		++load(choice.parts.front().candidate).requests;
		return choice.parts.front().candidate;
	}

	TargetLoad& load(uint32_t _target)
	{
		return *service.targets[_target].load;
	}

	FleetService service;
	std::vector<Amount> reported; //!< Last, by target.

private:
	void add(LayerSpan _layers, const CardKind& _card)
	{
		FleetTarget target;
		target.record.instance = InstanceId{"i-" + std::to_string(service.targets.size())};
		target.record.layers = _layers;
		target.record.slots = 0 == _layers.begin ? kSlots : 0;
		target.card = &_card;
		target.load = std::make_shared<TargetLoad>();
		reported.emplace_back();
		service.targets.push_back(target);
	}

	ServiceSpec spec_;
	CardKind fast_;
	CardKind slow_;
	std::set<TargetLife> failed_;
};

/// The nodes of a hall that all come up at once, before callers that all come at once. Loads are told late.
class Return
{
public:
	explicit Return(uint64_t _seed) : random_(_seed), nodes_(kNodes), sums_(kHeads + 1)
	{
	}

	/// @returns the most requests that a head got.
	uint32_t play(const Mechanisms& _mechanisms)
	{
		std::vector<uint32_t> heads(kHeads, 0);
		for (uint32_t round = 0; round < kRequestsOfNode; ++round)
		{
			if (0 < round && 0 == round % kReportEvery)
			{
				tell();
			}
			for (NodeView& node : nodes_)
			{
				++heads[node.send(random_, _mechanisms)];
			}
		}
		return *std::max_element(heads.begin(), heads.end());
	}

private:
	/// Each node hears what all had reported before, and reports what it has now.
	void tell()
	{
		for (std::size_t target = 0; target < sums_.size(); ++target)
		{
			Amount sum;
			for (NodeView& node : nodes_)
			{
				TargetLoad& load = node.load(static_cast<uint32_t>(target));
				Amount& reported = node.reported[target];
				load.heardRequests = reported.requests;
				load.heardTokenLayers = reported.tokenLayers;
				load.othersRequests = sums_[target].requests - reported.requests;
				load.othersTokenLayers = sums_[target].tokenLayers - reported.tokenLayers;
				reported = Amount{load.requests, load.tokenLayers};
				sum.requests += reported.requests;
				sum.tokenLayers += reported.tokenLayers;
			}
			sums_[target] = sum;
		}
	}

	SeededRandom random_;
	std::vector<NodeView> nodes_;
	std::vector<Amount> sums_; //!< As reported, by target.
};

} // namespace

class ReturnOfAllTest : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(ReturnOfAllTest);
	CPPUNIT_TEST(noHeadGetsMoreThanItsSlots);
	CPPUNIT_TEST(theReplayOverrunsAHeadWithoutTheGuess);
	CPPUNIT_TEST(aGuessNeverRefuses);
	CPPUNIT_TEST_SUITE_END();

public:
	/// All nodes come up together and none has heard of another: requests fit the heads' slots together, so that no
	/// head may be sent more than it has.
	void noHeadGetsMoreThanItsSlots()
	{
		constexpr uint64_t kSeeds = 20;
		for (uint64_t seed = 1; seed <= kSeeds; ++seed)
		{
			const uint32_t most = Return(seed).play(Mechanisms());
			CPPUNIT_ASSERT_MESSAGE(std::to_string(most), most <= kSlots);
		}
	}

	/// The load is the one that the guess is for.
	void theReplayOverrunsAHeadWithoutTheGuess()
	{
		Mechanisms mechanisms;
		std::string unknown;
		CPPUNIT_ASSERT(mechanisms.setOff("unheard-loads", unknown));
		CPPUNIT_ASSERT(kSlots < Return(1).play(mechanisms));
	}

	/// By the guess every head is full; by what is known each has slots.
	void aGuessNeverRefuses()
	{
		NodeView node;
		SeededRandom random(1);
		const Mechanisms mechanisms;
		for (uint32_t sent = 0; sent < kHeads * kSlots / 2; ++sent)
		{
			node.send(random, mechanisms);
		}
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReturnOfAllTest);

} // namespace sedgecart

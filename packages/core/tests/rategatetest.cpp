// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <base/seededrandom.h>
#include <core/rategate.h>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cmath>
#include <string>
#include <vector>

namespace sedgecart
{

namespace
{

constexpr Time kStart{1000000000};
constexpr Time kLongAgo{0}; //!< Start of processes that are older than any spacing.
constexpr Duration kStep = Duration::fromMillis(10);
constexpr Duration kWindow = Duration::fromMillis(4000);
constexpr Duration kDuration = Duration::fromMillis(30000);

/// How the nodes of a simulation stay within the limit.
enum class Strategy
{
	FewSenders,  //!< By `RateGate`.
	EqualShares, //!< Each node sends an equal share, evenly spaced.
};

/// A simulated fleet in which all nodes of one hall have requests for one target of that hall.
struct Fleet
{
	uint32_t nodes = 9;
	uint32_t halls = 3;
	double limit = 2;    //!< Requests per second.
	double offered = 10; //!< Requests per second at each node of the target's hall.
	uint32_t failed = 0; //!< Number of nodes of the hall, first in the order, that send nothing.
	Duration maxDelay;   //!< Maximum delay until a node learns of a response to another one.
	Strategy strategy = Strategy::FewSenders;
};

/// SimulationResult of a simulation.
struct SimulationResult
{
	std::size_t maxInWindow = 0;
	double utilization = 0; //!< Fraction of the limit that was sent.
};

class Simulation
{
public:
	Simulation(const Fleet& _fleet, uint64_t _seed) : fleet_(_fleet), random_(_seed), nodes_(_fleet.nodes)
	{
	}

	SimulationResult run()
	{
		advertise(kStart);
		for (Time now = kStart; now < kStart + kDuration; now = now + kStep)
		{
			for (uint32_t rank = 0; rank < fleet_.nodes; ++rank)
			{
				step(rank, now);
			}
		}
		SimulationResult result;
		result.utilization = static_cast<double>(sent_.size()) / (fleet_.limit * kDuration.micros / 1e6);
		for (auto begin = sent_.begin(); sent_.end() != begin; ++begin)
		{
			const auto end = std::lower_bound(begin, sent_.end(), *begin + kWindow);
			result.maxInWindow = std::max(result.maxInWindow, static_cast<std::size_t>(end - begin));
		}
		return result;
	}

private:
	struct Node
	{
		RateGate gate{kLongAgo};
		AdvertisedRate advertised;
		AdvertisedRate pending; //!< In transit to the node.
		Time pendingAt;
		Time sentAt;
	};

	uint32_t hallNodes() const
	{
		return fleet_.nodes / fleet_.halls;
	}

	/// Simulates a response of the target with its limit, of which each node learns after a random delay.
	void advertise(Time _now)
	{
		for (Node& node : nodes_)
		{
			const auto delay = static_cast<int64_t>(random_.below(static_cast<uint32_t>(fleet_.maxDelay.micros + 1)));
			node.pending = AdvertisedRate{RequestRate{fleet_.limit}, _now};
			node.pendingAt = _now + Duration{delay};
		}
	}

	void step(uint32_t _rank, Time _now)
	{
		Node& node = nodes_[_rank];
		if (!(_now < node.pendingAt))
		{
			node.advertised = node.pending;
		}
		const double chance = fleet_.offered * static_cast<double>(kStep.micros) / 1e6;
		constexpr uint32_t kParts = 1000000;
		const bool sends = fleet_.failed <= _rank && _rank < hallNodes();
		if (!sends || chance * kParts <= random_.below(kParts) || !admits(node, _rank, _now))
		{
			return;
		}
		node.gate.onSent(_now);
		node.sentAt = _now;
		sent_.push_back(_now);
		advertise(_now);
	}

	bool admits(Node& _node, uint32_t _rank, Time _now)
	{
		if (!_node.advertised.isKnown())
		{
			return false; // requests that a node sends before it knows a limit do not count
		}
		if (Strategy::EqualShares == fleet_.strategy)
		{
			const Duration spacing{static_cast<int64_t>(fleet_.nodes / fleet_.limit * 1e6)};
			return 0 == _node.sentAt.micros || !(_now < _node.sentAt + spacing);
		}
		return _node.gate.admits(_node.advertised, SenderOrder{_rank, hallNodes(), fleet_.nodes}, _now);
	}

	Fleet fleet_;
	SeededRandom random_;
	std::vector<Node> nodes_;
	std::vector<Time> sent_;
};

/// @returns the worst result of several simulations.
SimulationResult simulateAll(const Fleet& _fleet)
{
	constexpr uint64_t kSeeds = 10;
	SimulationResult worst{0, 1e9};
	for (uint64_t seed = 1; seed <= kSeeds; ++seed)
	{
		const SimulationResult result = Simulation(_fleet, seed).run();
		worst.maxInWindow = std::max(worst.maxInWindow, result.maxInWindow);
		worst.utilization = std::min(worst.utilization, result.utilization);
	}
	return worst;
}

std::vector<Fleet> fleets()
{
	std::vector<Fleet> all;
	for (const double limit : {0.3, 1.2, 2.6, 7.0, 25.0})
	{
		for (const uint32_t nodes : {9U, 60U, 295U})
		{
			Fleet fleet;
			fleet.nodes = nodes;
			fleet.halls = 295 == nodes ? 5 : 3;
			fleet.limit = limit;
			const uint32_t hallNodes = nodes / fleet.halls;
			fleet.offered = 10 * std::max(1.0, limit / hallNodes);
			fleet.maxDelay = Duration::fromMillis(450);
			all.push_back(fleet);
		}
	}
	return all;
}

std::string textOf(const Fleet& _fleet, const SimulationResult& _result)
{
	return std::to_string(_fleet.nodes) + " nodes, limit " + std::to_string(_fleet.limit) + ": " +
	       std::to_string(_result.maxInWindow) + " in 4 s, utilization " + std::to_string(_result.utilization);
}

} // namespace

class RateGateTest : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(RateGateTest);
	CPPUNIT_TEST(noMoreThanTheLimitAndOneForEachSender);
	CPPUNIT_TEST(mostOfTheLimitIsUsed);
	CPPUNIT_TEST(equalSharesUseLessOrSendTooMuch);
	CPPUNIT_TEST(nextNodesReplaceFailedSenders);
	CPPUNIT_TEST(withoutALimitEveryNodeMaySend);
	CPPUNIT_TEST(limitOfZeroStillAdmitsRareRequests);
	CPPUNIT_TEST(restartedSenderKeepsTheSpacing);
	CPPUNIT_TEST_SUITE_END();

public:
	/// By requirement, one and a half times the limit and five more requests are allowed.
	void noMoreThanTheLimitAndOneForEachSender()
	{
		for (const Fleet& fleet : fleets())
		{
			const SimulationResult result = simulateAll(fleet);
			const double windowSeconds = kWindow.micros / 1e6;
			const double maxSent = fleet.limit * windowSeconds + std::max(1.0, std::ceil(fleet.limit));
			CPPUNIT_ASSERT_MESSAGE(textOf(fleet, result), static_cast<double>(result.maxInWindow) <= maxSent);
		}
	}

	void mostOfTheLimitIsUsed()
	{
		constexpr double kAim = 0.8;
		for (const Fleet& fleet : fleets())
		{
			const SimulationResult result = simulateAll(fleet);
			CPPUNIT_ASSERT_MESSAGE(textOf(fleet, result), kAim <= result.utilization);
		}
	}

	/// With equal shares only the nodes of the target's hall use their share, and in a large fleet all nodes start at
	/// once.
	void equalSharesUseLessOrSendTooMuch()
	{
		for (Fleet fleet : fleets())
		{
			const double fewSenders = simulateAll(fleet).utilization;
			fleet.strategy = Strategy::EqualShares;
			const SimulationResult result = simulateAll(fleet);
			const double allowed = 1.5 * fleet.limit * kWindow.micros / 1e6 + 5;
			const bool isTooMuch = allowed < static_cast<double>(result.maxInWindow);
			CPPUNIT_ASSERT_MESSAGE(textOf(fleet, result), result.utilization < fewSenders || isTooMuch);
		}
	}

	void nextNodesReplaceFailedSenders()
	{
		Fleet fleet;
		fleet.nodes = 60;
		fleet.failed = 2; // both senders
		CPPUNIT_ASSERT(0 < simulateAll(fleet).utilization);
	}

	void withoutALimitEveryNodeMaySend()
	{
		const RateGate gate(kLongAgo);
		CPPUNIT_ASSERT(gate.admits(AdvertisedRate{}, SenderOrder{8, 3, 9}, kStart));
		CPPUNIT_ASSERT(gate.admits(AdvertisedRate{std::nullopt, kStart}, SenderOrder{8, 3, 9}, kStart));
	}

	/// Otherwise the target could never advertise a higher limit again.
	void limitOfZeroStillAdmitsRareRequests()
	{
		const AdvertisedRate nothing{RequestRate{0}, kStart};
		const SenderOrder first{0, 3, 9};
		RateGate gate(kLongAgo);
		CPPUNIT_ASSERT(gate.admits(nothing, first, kStart));
		gate.onSent(kStart);
		CPPUNIT_ASSERT(!gate.admits(nothing, first, kStart + Duration::fromMillis(10000)));
		CPPUNIT_ASSERT(gate.admits(nothing, first, kStart + Duration::fromMillis(21000)));
	}

	/// A sender that was killed and started again sent one request at once in each life.
	void restartedSenderKeepsTheSpacing()
	{
		constexpr Duration kLife = Duration::fromMillis(500);
		constexpr uint32_t kAllowed = 5; // one a second, and one more
		const AdvertisedRate advertised{RequestRate{1}, kStart};
		const SenderOrder order{0, 1, 1};
		uint32_t sent = 0;
		for (Time now = kStart; now < kStart + kWindow; now = now + kLife)
		{
			sent += RateGate(now).admits(advertised, order, now) ? 1 : 0;
		}
		CPPUNIT_ASSERT(sent <= kAllowed);
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(RateGateTest);

} // namespace sedgecart

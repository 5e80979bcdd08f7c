// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <core/layerpath.h>
#include <core/layoutplan.h>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <vector>

namespace sedgecart
{

namespace
{

constexpr double kStatedRoom = 100000; // tokens

EngineSpec engine()
{
	EngineSpec made;
	made.layers = 80;
	made.layerMb = 1750;
	made.kvBytesPerToken = 459000;
	made.roomTokens = kStatedRoom;
	return made;
}

constexpr RepairScope kAll{true, true};
const LayoutPolicy kPolicy;

/// As much room as memory allows, and so no second copies.
constexpr LayoutPolicy kMostRoom{0};

const CardKind kLarge{"large", 36000, 3, 3};
const CardKind kMiddle{"middle", 21600, 16, 8};
const CardKind kSmall{"small", 14400, 15, 15};

void add(std::vector<LayoutTarget>& _targets, uint32_t _hall, const CardKind& _card, int _count)
{
	for (int index = 0; index < _count; ++index)
	{
		_targets.push_back(LayoutTarget{_hall, _card, LayerSpan{}});
	}
}

/// Three halls of unlike cards, as at a small site.
std::vector<LayoutTarget> site()
{
	std::vector<LayoutTarget> targets;
	add(targets, 0, kLarge, 3);
	add(targets, 0, kMiddle, 3);
	add(targets, 0, kSmall, 5);
	add(targets, 1, kLarge, 1);
	add(targets, 1, kMiddle, 5);
	add(targets, 1, kSmall, 8);
	add(targets, 2, kLarge, 1);
	add(targets, 2, kMiddle, 7);
	add(targets, 2, kSmall, 5);
	return targets;
}

/// Halls whose memory holds the model and little beside: 20, 3 times 12 and 3 times 8 layers.
std::vector<LayoutTarget> tightHalls(uint32_t _halls)
{
	std::vector<LayoutTarget> targets;
	for (uint32_t hall = 0; hall < _halls; ++hall)
	{
		add(targets, hall, kLarge, 1);
		add(targets, hall, kMiddle, 3);
		add(targets, hall, kSmall, 3);
	}
	return targets;
}

/// An engine whose usual requests and whose link between halls the operator has named.
EngineSpec engineBesideLink(double _linkMbps)
{
	EngineSpec made = engine();
	made.stepMs = 0.85;
	made.readTokensPerSecond = 252000;
	made.hopBytesPerToken = 22900;
	made.usualPromptTokens = 760;
	made.usualAnswerTokens = 140;
	made.hallLinkMbps = _linkMbps;
	return made;
}

void carryOut(std::vector<LayoutTarget>& _targets, const std::vector<LayoutOrder>& _orders)
{
	for (const LayoutOrder& order : _orders)
	{
		_targets[order.target].held = order.layers;
	}
}

/// @returns layers that some target of the hall holds.
uint32_t covered(const std::vector<LayoutTarget>& _targets, uint32_t _hall)
{
	std::vector<bool> held(80, false);
	for (const LayoutTarget& target : _targets)
	{
		for (uint32_t layer = target.held.begin; _hall == target.hall && layer < target.held.end; ++layer)
		{
			held[layer] = true;
		}
	}
	return static_cast<uint32_t>(std::count(held.begin(), held.end(), true));
}

/// @returns the least room that the holders of a layer of the hall have together, tokens.
double leastRoom(const std::vector<LayoutTarget>& _targets, uint32_t _hall)
{
	std::vector<double> rooms(80, 0);
	for (const LayoutTarget& target : _targets)
	{
		for (uint32_t layer = target.held.begin; _hall == target.hall && layer < target.held.end; ++layer)
		{
			rooms[layer] += roomFor(engine(), target.card, target.held.size());
		}
	}
	return *std::min_element(rooms.begin(), rooms.end());
}

/// @returns how many targets of a hall may each end alone without leaving a layer that nobody holds.
uint32_t protectedTargets(const std::vector<LayoutTarget>& _targets, uint32_t _hall)
{
	uint32_t count = 0;
	for (std::size_t lost = 0; lost < _targets.size(); ++lost)
	{
		std::vector<LayoutTarget> left = _targets;
		left.erase(left.begin() + static_cast<std::ptrdiff_t>(lost));
		count += _hall == _targets[lost].hall && 80 == covered(left, _hall) ? 1 : 0;
	}
	return count;
}

} // namespace

class LayoutPlanTest : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(LayoutPlanTest);
	CPPUNIT_TEST(everyHallGetsAWholeChain);
	CPPUNIT_TEST(everyLayerHasItsRoom);
	CPPUNIT_TEST(secondCopiesProtectAgainstLosses);
	CPPUNIT_TEST(holdersOfSecondCopiesTakeOver);
	CPPUNIT_TEST(theLeastBusyTakesOver);
	CPPUNIT_TEST(largeHallsGetShortChains);
	CPPUNIT_TEST(hallsTooSmallShareAChain);
	CPPUNIT_TEST(tightHallsKeepTheirOwnChainsBesideANarrowLink);
	CPPUNIT_TEST(tightHallsShareAChainOverAWideLink);
	CPPUNIT_TEST(switchedOffTightHallsShareAChain);
	CPPUNIT_TEST(oneTightHallIsLaidOut);
	CPPUNIT_TEST(anEmptyTargetTakesWhatIsLost);
	CPPUNIT_TEST(anEmptyTargetTakesWhatOneChainLost);
	CPPUNIT_TEST(chainShiftsOverALostRange);
	CPPUNIT_TEST(smallForLarge);
	CPPUNIT_TEST(nothingLostNothingOrdered);
	CPPUNIT_TEST(noTargetIsOrderedMoreThanItHolds);
	CPPUNIT_TEST_SUITE_END();

public:
	void everyHallGetsAWholeChain()
	{
		std::vector<LayoutTarget> targets = site();
		carryOut(targets, planLayout(engine(), targets, kPolicy));
		for (uint32_t hall = 0; hall < 3; ++hall)
		{
			CPPUNIT_ASSERT_EQUAL(80U, covered(targets, hall));
		}
	}

	/// What each layer of a hall has in all is what was asked for, if memory allows it.
	void everyLayerHasItsRoom()
	{
		std::vector<LayoutTarget> targets = site();
		carryOut(targets, planLayout(engine(), targets, kPolicy));
		for (uint32_t hall = 0; hall < 3; ++hall)
		{
			CPPUNIT_ASSERT(kPolicy.roomShare * kStatedRoom <= leastRoom(targets, hall));
		}
		for (LayoutTarget& target : targets)
		{
			target.held = LayerSpan{};
		}
		carryOut(targets, planLayout(engine(), targets, kMostRoom));
		for (uint32_t hall = 0; hall < 3; ++hall)
		{
			CPPUNIT_ASSERT(120000 < leastRoom(targets, hall));
		}
	}

	/// Memory that requests do not need holds second copies: most targets can end without leaving a hole.
	void secondCopiesProtectAgainstLosses()
	{
		std::vector<LayoutTarget> targets;
		add(targets, 0, CardKind{"fast", 72000, 2.4, 3.2}, 1);
		add(targets, 0, CardKind{"small", 14400, 5.3, 7.9}, 6);
		add(targets, 0, CardKind{"slow", 21600, 16, 8.2}, 6);
		std::vector<LayoutTarget> plain = targets;
		carryOut(plain, planLayout(engine(), plain, kMostRoom));
		CPPUNIT_ASSERT_EQUAL(0U, protectedTargets(plain, 0));
		carryOut(targets, planLayout(engine(), targets, kPolicy));
		CPPUNIT_ASSERT(10 <= protectedTargets(targets, 0));
		CPPUNIT_ASSERT(kPolicy.roomShare * kStatedRoom * 0.9 <= leastRoom(targets, 0));
	}

	/// What only one target held is taken over by those that hold second copies, before an empty one comes.
	void holdersOfSecondCopiesTakeOver()
	{
		std::vector<LayoutTarget> targets;
		add(targets, 0, CardKind{"fast", 72000, 2.4, 3.2}, 1);
		add(targets, 0, CardKind{"small", 14400, 5.3, 7.9}, 6);
		add(targets, 0, CardKind{"slow", 21600, 16, 8.2}, 6);
		carryOut(targets, planLayout(engine(), targets, kPolicy));
		targets.erase(targets.begin());
		CPPUNIT_ASSERT(covered(targets, 0) < 80);
		carryOut(targets, repairLayout(engine(), targets, kPolicy, RepairScope{}));
		CPPUNIT_ASSERT_EQUAL(80U, covered(targets, 0));
	}

	/// A busy target gives its layers up only after seconds.
	void theLeastBusyTakesOver()
	{
		std::vector<LayoutTarget> targets;
		add(targets, 0, CardKind{"fast", 72000, 2.4, 3.2}, 1);
		add(targets, 0, CardKind{"small", 14400, 5.3, 7.9}, 6);
		add(targets, 0, CardKind{"slow", 21600, 16, 8.2}, 6);
		carryOut(targets, planLayout(engine(), targets, kPolicy));
		std::vector<LayoutTarget> left;
		uint32_t lost = 0;
		for (uint32_t index = 0; index < targets.size() && left.empty(); ++index)
		{
			left = targets;
			left.erase(left.begin() + index);
			lost = index;
			left = 80 == covered(left, 0) || 0 == index ? std::vector<LayoutTarget>() : left;
		}
		CPPUNIT_ASSERT(!left.empty()); // some target's loss leaves a hole
		const std::vector<LayoutOrder> idle = repairLayout(engine(), left, kPolicy, RepairScope{});
		CPPUNIT_ASSERT(!idle.empty());
		left[idle[0].target].tokens = 50000;
		const std::vector<LayoutOrder> busy = repairLayout(engine(), left, kPolicy, RepairScope{});
		CPPUNIT_ASSERT(!busy.empty());
		CPPUNIT_ASSERT(idle[0].target != busy[0].target);
		CPPUNIT_ASSERT(lost < targets.size());
	}

	/// A hall of more targets than a path may have parts is laid out in several chains, each of which a path can go.
	void largeHallsGetShortChains()
	{
		std::vector<LayoutTarget> targets;
		add(targets, 0, kLarge, 2);
		add(targets, 0, kMiddle, 13);
		add(targets, 0, kSmall, 22);
		carryOut(targets, planLayout(engine(), targets, kPolicy));
		std::vector<PathCandidate> candidates;
		uint32_t heads = 0;
		for (const LayoutTarget& target : targets)
		{
			PathCandidate candidate;
			candidate.held = target.held;
			candidate.costPerLayer = target.card.stepFactor;
			candidates.push_back(candidate);
			heads += 0 == target.held.begin && 0 < target.held.size() ? 1 : 0;
		}
		CPPUNIT_ASSERT_EQUAL(4U, heads);
		CPPUNIT_ASSERT(2 * kPolicy.roomShare * kStatedRoom <= leastRoom(targets, 0));
		PathQuery query;
		query.layers = 80;
		std::vector<PathPart> path;
		CPPUNIT_ASSERT(findPath(candidates, query, path));
		CPPUNIT_ASSERT(path.size() <= kMostParts);
	}

	void hallsTooSmallShareAChain()
	{
		std::vector<LayoutTarget> targets;
		add(targets, 0, kLarge, 3);
		add(targets, 1, kLarge, 4);
		carryOut(targets, planLayout(engine(), targets, kPolicy));
		CPPUNIT_ASSERT(covered(targets, 0) < 80);
		CPPUNIT_ASSERT(covered(targets, 1) < 80);
		CPPUNIT_ASSERT(repairLayout(engine(), targets, kPolicy, kAll).empty());
		for (LayoutTarget& target : targets)
		{
			target.hall = 0;
		}
		CPPUNIT_ASSERT_EQUAL(80U, covered(targets, 0));
	}

	/// Each hall's memory holds the model and some ten requests; a link between halls carries two prompts a second. A
	/// chain that halls share serves next to nothing: of 15 requests a second no stream was served.
	void tightHallsKeepTheirOwnChainsBesideANarrowLink()
	{
		std::vector<LayoutTarget> targets = tightHalls(5);
		carryOut(targets, planLayout(engineBesideLink(290), targets, kPolicy));
		for (uint32_t hall = 0; hall < 5; ++hall)
		{
			CPPUNIT_ASSERT_EQUAL(80U, covered(targets, hall));
		}
	}

	void switchedOffTightHallsShareAChain()
	{
		std::vector<LayoutTarget> targets = tightHalls(5);
		LayoutPolicy policy;
		policy.tightAlone = false;
		carryOut(targets, planLayout(engineBesideLink(290), targets, policy));
		for (uint32_t hall = 0; hall < 5; ++hall)
		{
			CPPUNIT_ASSERT(covered(targets, hall) < 80);
		}
	}

	/// Over a link that bears all prompts the room of one shared chain serves more.
	void tightHallsShareAChainOverAWideLink()
	{
		std::vector<LayoutTarget> targets = tightHalls(5);
		carryOut(targets, planLayout(engineBesideLink(1e6), targets, kPolicy));
		uint32_t whole = 0;
		for (uint32_t hall = 0; hall < 5; ++hall)
		{
			whole += 80 == covered(targets, hall) ? 1 : 0;
		}
		CPPUNIT_ASSERT_EQUAL(0U, whole);
	}

	/// Nobody is there to share with: a tight chain is better than none.
	void oneTightHallIsLaidOut()
	{
		std::vector<LayoutTarget> targets = tightHalls(1);
		carryOut(targets, planLayout(engineBesideLink(1e6), targets, kPolicy));
		CPPUNIT_ASSERT_EQUAL(80U, covered(targets, 0));
	}

	void anEmptyTargetTakesWhatIsLost()
	{
		std::vector<LayoutTarget> targets = site();
		carryOut(targets, planLayout(engine(), targets, kPolicy));
		const LayerSpan lost = targets[3].held;
		targets[3].held = LayerSpan{};
		const std::vector<LayoutOrder> orders = repairLayout(engine(), targets, kPolicy, RepairScope{});
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), orders.size());
		CPPUNIT_ASSERT_EQUAL(3U, orders[0].target);
		CPPUNIT_ASSERT(lost == orders[0].layers);
	}

	/// A hall in several chains: the others hold the range, but their targets would take more load.
	void anEmptyTargetTakesWhatOneChainLost()
	{
		std::vector<LayoutTarget> targets;
		add(targets, 0, kLarge, 2);
		add(targets, 0, kMiddle, 13);
		add(targets, 0, kSmall, 22);
		carryOut(targets, planLayout(engine(), targets, kPolicy));
		const std::vector<LayoutTarget> planned = targets;
		const double room = leastRoom(planned, 0);
		for (uint32_t lost = 0; lost < targets.size(); ++lost)
		{
			targets = planned;
			targets[lost].held = LayerSpan{};
			const std::vector<LayoutOrder> orders = repairLayout(engine(), targets, kPolicy, kAll);
			CPPUNIT_ASSERT_EQUAL(std::size_t(1), orders.size());
			CPPUNIT_ASSERT_EQUAL(lost, orders[0].target);
			carryOut(targets, orders);
			CPPUNIT_ASSERT(0.95 * room <= leastRoom(targets, 0));
		}
	}

	/// Whatever single target of a site is lost for good, its hall has a whole chain again, with room.
	void chainShiftsOverALostRange()
	{
		for (uint32_t lost = 0; lost < site().size(); ++lost)
		{
			std::vector<LayoutTarget> targets = site();
			carryOut(targets, planLayout(engine(), targets, kPolicy));
			const uint32_t hall = targets[lost].hall;
			targets.erase(targets.begin() + lost);
			const std::vector<LayoutOrder> orders = repairLayout(engine(), targets, kPolicy, kAll);
			carryOut(targets, orders);
			CPPUNIT_ASSERT_EQUAL(80U, covered(targets, hall));
			CPPUNIT_ASSERT(orders.size() <= 6); // of 11 to 14 in a hall
			for (const LayoutTarget& target : targets)
			{
				CPPUNIT_ASSERT(70000 <= roomFor(engine(), target.card, target.held.size()));
			}
		}
	}

	/// A small target cannot take what a large one held: others take it over, and the small one takes from them.
	void smallForLarge()
	{
		std::vector<LayoutTarget> targets = site();
		carryOut(targets, planLayout(engine(), targets, kPolicy));
		targets[1] = LayoutTarget{0, kSmall, LayerSpan{}};
		carryOut(targets, repairLayout(engine(), targets, kPolicy, kAll));
		CPPUNIT_ASSERT_EQUAL(80U, covered(targets, 0));
		CPPUNIT_ASSERT(0 < targets[1].held.size());
	}

	void nothingLostNothingOrdered()
	{
		std::vector<LayoutTarget> targets = site();
		carryOut(targets, planLayout(engine(), targets, kPolicy));
		CPPUNIT_ASSERT(repairLayout(engine(), targets, kPolicy, kAll).empty());
	}

	void noTargetIsOrderedMoreThanItHolds()
	{
		CPPUNIT_ASSERT(rc::check("orders fit the cards",
		                         []
		                         {
			                         const CardKind cards[] = {kLarge, kMiddle, kSmall};
			                         std::vector<LayoutTarget> targets;
			                         const int count = *rc::gen::inRange<int>(1, 40);
			                         for (int index = 0; index < count; ++index)
			                         {
				                         add(targets, *rc::gen::inRange<uint32_t>(0, 3),
				                             cards[*rc::gen::inRange<int>(0, 3)], 1);
			                         }
			                         carryOut(targets, planLayout(engine(), targets, kPolicy));
			                         for (LayoutTarget& target : targets)
			                         {
				                         if (0 == *rc::gen::inRange<int>(0, 5))
				                         {
					                         target.held = LayerSpan{};
				                         }
			                         }
			                         carryOut(targets, repairLayout(engine(), targets, kPolicy, kAll));
			                         for (const LayoutTarget& target : targets)
			                         {
				                         RC_ASSERT(target.held.size() * 1750 <= target.card.memoryMb);
				                         RC_ASSERT(target.held.end <= 80U);
			                         }
		                         }));
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(LayoutPlanTest);

} // namespace sedgecart

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

EngineSpec engine()
{
	EngineSpec made;
	made.layers = 80;
	made.layerMb = 1750;
	made.kvBytesPerToken = 459000;
	return made;
}

constexpr RepairScope kAll{true, true};

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

} // namespace

class LayoutPlanTest : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(LayoutPlanTest);
	CPPUNIT_TEST(everyHallGetsAWholeChain);
	CPPUNIT_TEST(partsOfAChainHaveLikeRoom);
	CPPUNIT_TEST(largeHallsGetShortChains);
	CPPUNIT_TEST(hallsTooSmallShareAChain);
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
		carryOut(targets, planLayout(engine(), targets));
		for (uint32_t hall = 0; hall < 3; ++hall)
		{
			CPPUNIT_ASSERT_EQUAL(80U, covered(targets, hall));
		}
	}

	void partsOfAChainHaveLikeRoom()
	{
		std::vector<LayoutTarget> targets = site();
		carryOut(targets, planLayout(engine(), targets));
		for (const LayoutTarget& target : targets)
		{
			CPPUNIT_ASSERT(120000 < roomFor(engine(), target.card, target.held.size()));
		}
	}

	/// A hall of more targets than a path may have parts is laid out in several chains, each of which a path can go.
	void largeHallsGetShortChains()
	{
		std::vector<LayoutTarget> targets;
		add(targets, 0, kLarge, 2);
		add(targets, 0, kMiddle, 13);
		add(targets, 0, kSmall, 22);
		carryOut(targets, planLayout(engine(), targets));
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
		CPPUNIT_ASSERT_EQUAL(2U, heads);
		PathQuery query;
		query.layers = 80;
		std::vector<PathPart> path;
		CPPUNIT_ASSERT(findPath(candidates, query, path));
		CPPUNIT_ASSERT(path.size() <= kMostParts);
	}

	void hallsTooSmallShareAChain()
	{
		std::vector<LayoutTarget> targets;
		add(targets, 0, kLarge, 4);
		add(targets, 1, kLarge, 4);
		std::vector<LayoutOrder> orders = planLayout(engine(), targets);
		carryOut(targets, orders);
		uint32_t layers = 0;
		for (const LayoutTarget& target : targets)
		{
			layers += target.held.size();
		}
		CPPUNIT_ASSERT_EQUAL(80U, layers);
		CPPUNIT_ASSERT(repairLayout(engine(), targets, kAll).empty());
	}

	void anEmptyTargetTakesWhatIsLost()
	{
		std::vector<LayoutTarget> targets = site();
		carryOut(targets, planLayout(engine(), targets));
		const LayerSpan lost = targets[3].held;
		targets[3].held = LayerSpan{};
		const std::vector<LayoutOrder> orders = repairLayout(engine(), targets, RepairScope{});
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), orders.size());
		CPPUNIT_ASSERT_EQUAL(3U, orders[0].target);
		CPPUNIT_ASSERT(lost == orders[0].layers);
	}

	/// A hall in two chains: the other chain holds the range, but its targets take double load and its head has no
	/// slots.
	void anEmptyTargetTakesWhatOneChainLost()
	{
		std::vector<LayoutTarget> targets;
		add(targets, 0, kLarge, 2);
		add(targets, 0, kMiddle, 13);
		add(targets, 0, kSmall, 22);
		carryOut(targets, planLayout(engine(), targets));
		const std::vector<LayoutTarget> planned = targets;
		for (uint32_t lost = 2; lost < targets.size(); ++lost)
		{
			targets = planned;
			const LayerSpan range = targets[lost].held;
			targets[lost].held = LayerSpan{};
			const std::vector<LayoutOrder> orders = repairLayout(engine(), targets, RepairScope{});
			CPPUNIT_ASSERT_EQUAL(std::size_t(1), orders.size());
			CPPUNIT_ASSERT_EQUAL(lost, orders[0].target);
			CPPUNIT_ASSERT(range == orders[0].layers);
		}
	}

	/// Whatever single target of a site is lost for good, its hall has a whole chain again, with room.
	void chainShiftsOverALostRange()
	{
		for (uint32_t lost = 0; lost < site().size(); ++lost)
		{
			std::vector<LayoutTarget> targets = site();
			carryOut(targets, planLayout(engine(), targets));
			const uint32_t hall = targets[lost].hall;
			targets.erase(targets.begin() + lost);
			CPPUNIT_ASSERT(repairLayout(engine(), targets, RepairScope{}).empty());
			const std::vector<LayoutOrder> orders = repairLayout(engine(), targets, kAll);
			carryOut(targets, orders);
			CPPUNIT_ASSERT_EQUAL(80U, covered(targets, hall));
			CPPUNIT_ASSERT(orders.size() <= 6); // of 11 to 14 in a hall
			for (const LayoutTarget& target : targets)
			{
				CPPUNIT_ASSERT(70000 <= roomFor(engine(), target.card, target.held.size()));
			}
		}
	}

	/// A small target cannot take what a large one held: the chain shifts, with the small one in it.
	void smallForLarge()
	{
		std::vector<LayoutTarget> targets = site();
		carryOut(targets, planLayout(engine(), targets));
		targets[1] = LayoutTarget{0, kSmall, LayerSpan{}};
		CPPUNIT_ASSERT(repairLayout(engine(), targets, RepairScope{}).empty());
		carryOut(targets, repairLayout(engine(), targets, kAll));
		CPPUNIT_ASSERT_EQUAL(80U, covered(targets, 0));
		CPPUNIT_ASSERT(0 < targets[1].held.size());
	}

	void nothingLostNothingOrdered()
	{
		std::vector<LayoutTarget> targets = site();
		carryOut(targets, planLayout(engine(), targets));
		CPPUNIT_ASSERT(repairLayout(engine(), targets, kAll).empty());
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
			                         carryOut(targets, planLayout(engine(), targets));
			                         for (LayoutTarget& target : targets)
			                         {
				                         if (0 == *rc::gen::inRange<int>(0, 5))
				                         {
					                         target.held = LayerSpan{};
				                         }
			                         }
			                         carryOut(targets, repairLayout(engine(), targets, kAll));
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

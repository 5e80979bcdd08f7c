// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "../src/targetchooser_p.h"

#include <base/seededrandom.h>

#include <cppunit/extensions/HelperMacros.h>

#include <memory>

namespace sedgecart
{

namespace
{

TargetLife life(const char* _instance)
{
	return TargetLife{InstanceId{_instance}, BirthTime{}};
}

/// A service of two halls; each holds a model of 8 layers in two parts.
class Fleet
{
public:
	Fleet()
	{
		spec_.name = "engine";
		spec_.hasEngine = true;
		spec_.engine.layers = 8;
		spec_.engine.layerMb = 100;
		spec_.engine.kvBytesPerToken = 8e6; // a megabyte a token and layer
		spec_.engine.stepMs = 10;
		card_ = CardKind{"card", 1000, 1, 1};
		service.spec = &spec_;
		service.halls = 2;
		for (uint32_t hall = 0; hall < 2; ++hall)
		{
			add(hall, LayerSpan{0, 4});
			add(hall, LayerSpan{4, 8});
		}
	}

	ChoiceQuery query(double _tokens)
	{
		return ChoiceQuery{service, failed, 1, _tokens, Time{1000000}, mechanisms, linkTaken, false};
	}

	EngineSpec& engine()
	{
		return spec_.engine;
	}

	TargetLoad& load(uint32_t _target)
	{
		return *service.targets[_target].load;
	}

	void add(uint32_t _hall, LayerSpan _layers)
	{
		FleetTarget target;
		target.record.instance = InstanceId{"i-" + std::to_string(service.targets.size())};
		target.record.layers = _layers;
		target.hall = _hall;
		target.card = &card_;
		target.load = std::make_shared<TargetLoad>();
		service.targets.push_back(target);
	}

	FleetService service;
	std::set<TargetLife> failed;
	double linkTaken = 0;
	Mechanisms mechanisms;

private:
	ServiceSpec spec_;
	CardKind card_;
};

} // namespace

class TargetChooserTest : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(TargetChooserTest);
	CPPUNIT_TEST(ownHallFirst);
	CPPUNIT_TEST(otherHallWhenOwnIsLoaded);
	CPPUNIT_TEST(othersLoadCounts);
	CPPUNIT_TEST(headsWithoutASlotAreLeft);
	CPPUNIT_TEST(headsShareByTheirSlots);
	CPPUNIT_TEST(slowTargetsAreLeft);
	CPPUNIT_TEST(requestsThatMoveSpread);
	CPPUNIT_TEST(fullIsToldFromGone);
	CPPUNIT_TEST(restOfAPathStaysInItsHall);
	CPPUNIT_TEST(whatHasEndedIsNoWayOn);
	CPPUNIT_TEST(whatWasRefusedIsNotAskedAgain);
	CPPUNIT_TEST(theLinkBetweenHallsHasItsPrice);
	CPPUNIT_TEST(theLinkBetweenHallsTakesNoMoreThanItBears);
	CPPUNIT_TEST(plainServiceTakesTheIdlest);
	CPPUNIT_TEST_SUITE_END();

public:
	/// Requests beyond a head's slots would wait there; another hall's head takes them, or they are refused.
	void headsWithoutASlotAreLeft()
	{
		Fleet fleet;
		Choice choice;
		for (const uint32_t head : {0U, 2U})
		{
			fleet.service.targets[head].record.slots = 8;
		}
		fleet.load(0).requests = 3;
		fleet.load(0).othersRequests = 5;
		CPPUNIT_ASSERT(SendOutcome::Begun == choosePath(fleet.query(10), random_, choice));
		CPPUNIT_ASSERT_EQUAL(2U, choice.parts[0].candidate);
		fleet.load(2).othersRequests = 8;
		CPPUNIT_ASSERT(SendOutcome::NoRoom == choosePath(fleet.query(10), random_, choice));
	}

	/// Two heads of a hall: the one with more memory must not take all requests until its slots are gone.
	void headsShareByTheirSlots()
	{
		Fleet fleet;
		Choice choice;
		fleet.add(0, LayerSpan{0, 4});
		for (const uint32_t head : {0U, 4U})
		{
			fleet.service.targets[head].record.slots = 10;
		}
		fleet.load(0).requests = 5;
		fleet.load(4).tokenLayers = 100; // a little fuller
		CPPUNIT_ASSERT(SendOutcome::Begun == choosePath(fleet.query(10), random_, choice));
		CPPUNIT_ASSERT_EQUAL(4U, choice.parts[0].candidate);
		std::string unknown;
		CPPUNIT_ASSERT(fleet.mechanisms.setOff("head-slots", unknown));
		CPPUNIT_ASSERT(SendOutcome::Begun == choosePath(fleet.query(10), random_, choice));
		CPPUNIT_ASSERT_EQUAL(0U, choice.parts[0].candidate);
	}

	/// A hall's chain is lost: its requests must not all go to the same one of the others.
	void requestsThatMoveSpread()
	{
		Fleet fleet;
		fleet.add(0, LayerSpan{0, 8});
		ChoiceQuery query = fleet.query(10);
		query.moves = true;
		uint32_t first = 0;
		constexpr uint32_t kMoved = 200;
		for (uint32_t moved = 0; moved < kMoved; ++moved)
		{
			Choice choice;
			CPPUNIT_ASSERT(SendOutcome::Begun == choosePath(query, random_, choice));
			first += 4 == choice.parts[0].candidate ? 1 : 0;
		}
		CPPUNIT_ASSERT(kMoved / 4 < first && first < kMoved);
	}

	void slowTargetsAreLeft()
	{
		Fleet fleet;
		Choice choice;
		fleet.load(1).toldPace = 4;
		CPPUNIT_ASSERT(SendOutcome::Begun == choosePath(fleet.query(10), random_, choice));
		CPPUNIT_ASSERT_EQUAL(2U, choice.parts[0].candidate);
		fleet.load(1).toldPace = 1;
		CPPUNIT_ASSERT(SendOutcome::Begun == choosePath(fleet.query(10), random_, choice));
		CPPUNIT_ASSERT_EQUAL(0U, choice.parts[0].candidate);
	}

	void ownHallFirst()
	{
		Fleet fleet;
		Choice choice;
		CPPUNIT_ASSERT(SendOutcome::Begun == choosePath(fleet.query(10), random_, choice));
		CPPUNIT_ASSERT_EQUAL(0U, choice.parts[0].candidate);
		CPPUNIT_ASSERT_EQUAL(1U, choice.parts[1].candidate);
	}

	void otherHallWhenOwnIsLoaded()
	{
		Fleet fleet;
		fleet.load(0).tokenLayers = 480; // of 600 MB beside its layers
		fleet.load(1).tokenLayers = 480;
		Choice choice;
		CPPUNIT_ASSERT(SendOutcome::Begun == choosePath(fleet.query(10), random_, choice));
		CPPUNIT_ASSERT_EQUAL(2U, choice.parts[0].candidate);
		CPPUNIT_ASSERT_EQUAL(3U, choice.parts[1].candidate);
	}

	void othersLoadCounts()
	{
		Fleet fleet;
		fleet.load(0).othersTokenLayers = 480;
		fleet.load(1).othersTokenLayers = 480;
		Choice choice;
		CPPUNIT_ASSERT(SendOutcome::Begun == choosePath(fleet.query(10), random_, choice));
		CPPUNIT_ASSERT_EQUAL(2U, choice.parts[0].candidate);
	}

	void fullIsToldFromGone()
	{
		Fleet fleet;
		Choice choice;
		CPPUNIT_ASSERT(SendOutcome::NoRoom == choosePath(fleet.query(200), random_, choice));
		fleet.failed = {life("i-1"), life("i-3")};
		CPPUNIT_ASSERT(SendOutcome::NoTargets == choosePath(fleet.query(10), random_, choice));
	}

	void restOfAPathStaysInItsHall()
	{
		Fleet fleet;
		Choice choice;
		CPPUNIT_ASSERT(SendOutcome::Begun == choosePath(fleet.query(10), random_, choice));
		fleet.failed = {life("i-1")};
		CPPUNIT_ASSERT(!chooseRest(fleet.query(10), hallCrossings(fleet.service, choice), choice));
		fleet.service.targets[3].hall = 0;
		CPPUNIT_ASSERT(SendOutcome::Begun == choosePath(fleet.query(10), random_, choice));
		choice.parts = {PathPart{0, LayerSpan{0, 4}}, PathPart{1, LayerSpan{4, 8}}};
		CPPUNIT_ASSERT(chooseRest(fleet.query(10), hallCrossings(fleet.service, choice), choice));
		CPPUNIT_ASSERT_EQUAL(0U, choice.parts[0].candidate);
		CPPUNIT_ASSERT_EQUAL(3U, choice.parts[1].candidate);
	}

	/// A request that goes on chooses from the fleet as it was when it was sent: the record of a target that has
	/// started again since still shows its layers there, and each path over it would be refused.
	void whatHasEndedIsNoWayOn()
	{
		Fleet fleet;
		fleet.service.targets[3].hall = 0;
		Choice choice;
		choice.parts = {PathPart{0, LayerSpan{0, 4}}, PathPart{1, LayerSpan{4, 8}}};
		fleet.failed = {life("i-1")};
		fleet.load(3).ended = true;
		CPPUNIT_ASSERT(!chooseRest(fleet.query(10), hallCrossings(fleet.service, choice), choice));
		CPPUNIT_ASSERT(SendOutcome::NoTargets == choosePath(fleet.query(10), random_, choice));
		fleet.failed.clear();
		for (uint32_t target = 0; target < 4; ++target)
		{
			fleet.load(target).ended = true;
		}
		CPPUNIT_ASSERT(SendOutcome::NoTargets == chooseTarget(fleet.query(0), random_, choice));
	}

	/// A target said that it does not hold its part: nobody asks for it again by the same record, until the word is
	/// old. A record with other layers is a later word.
	void whatWasRefusedIsNotAskedAgain()
	{
		Fleet fleet;
		const LayerSpan held = fleet.service.targets[1].record.layers;
		const Time now = fleet.query(10).now;
		Choice choice;
		fleet.load(1).noteNotHeld(held, now + Duration::fromMillis(1));
		CPPUNIT_ASSERT(SendOutcome::Begun == choosePath(fleet.query(10), random_, choice));
		CPPUNIT_ASSERT_EQUAL(2U, choice.parts[0].candidate);
		fleet.load(1).noteNotHeld(LayerSpan{0, 4}, now + Duration::fromMillis(1));
		CPPUNIT_ASSERT(SendOutcome::Begun == choosePath(fleet.query(10), random_, choice));
		CPPUNIT_ASSERT_EQUAL(0U, choice.parts[0].candidate);
		fleet.load(1).noteNotHeld(held, now);
		CPPUNIT_ASSERT(SendOutcome::Begun == choosePath(fleet.query(10), random_, choice));
		CPPUNIT_ASSERT_EQUAL(0U, choice.parts[0].candidate);
	}

	/// A hall that lacks a part borrows it over a wide link; over a narrow one its requests go to the other hall as a
	/// whole.
	void theLinkBetweenHallsHasItsPrice()
	{
		Fleet fleet;
		fleet.failed = {life("i-1")};
		fleet.engine().usualPromptTokens = 1000;
		fleet.engine().hopBytesPerToken = 20000;
		Choice choice;
		fleet.engine().hallLinkMbps = 1000000;
		CPPUNIT_ASSERT(SendOutcome::Begun == choosePath(fleet.query(10), random_, choice));
		CPPUNIT_ASSERT_EQUAL(0U, choice.parts[0].candidate);
		CPPUNIT_ASSERT_EQUAL(3U, choice.parts[1].candidate);
		fleet.engine().hallLinkMbps = 5000;
		CPPUNIT_ASSERT(SendOutcome::Begun == choosePath(fleet.query(10), random_, choice));
		CPPUNIT_ASSERT_EQUAL(2U, choice.parts[0].candidate);
	}

	/// A hall has lost a part and borrows it: what the link does not bear is refused at once, with every target idle,
	/// and does not queue there. Requests that move have been worked on; they cross all the same.
	void theLinkBetweenHallsTakesNoMoreThanItBears()
	{
		Fleet fleet;
		fleet.failed = {life("i-1"), life("i-2")};
		fleet.engine().usualPromptTokens = 1000;
		fleet.engine().hopBytesPerToken = 20000;
		fleet.engine().hallLinkMbps = 5000;
		Choice choice;
		fleet.linkTaken = 0.99;
		CPPUNIT_ASSERT(SendOutcome::Begun == choosePath(fleet.query(10), random_, choice));
		CPPUNIT_ASSERT_EQUAL(int64_t(320), linkTime(fleet.query(10), choice).micros);
		fleet.linkTaken = 1.01;
		CPPUNIT_ASSERT(SendOutcome::NoRoom == choosePath(fleet.query(10), random_, choice));
		ChoiceQuery moving = fleet.query(10);
		moving.moves = true;
		CPPUNIT_ASSERT(SendOutcome::Begun == choosePath(moving, random_, choice));
	}

	void plainServiceTakesTheIdlest()
	{
		Fleet fleet;
		Choice choice;
		fleet.load(0).requests = 2;
		fleet.load(1).requests = 1;
		CPPUNIT_ASSERT(SendOutcome::Begun == chooseTarget(fleet.query(0), random_, choice));
		CPPUNIT_ASSERT(2U <= choice.parts[0].candidate);
		fleet.failed = {life("i-0"), life("i-1"), life("i-2"), life("i-3")};
		CPPUNIT_ASSERT(SendOutcome::NoTargets == chooseTarget(fleet.query(0), random_, choice));
	}

private:
	SeededRandom random_{1};
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetChooserTest);

} // namespace sedgecart

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "../src/targetchooser_p.h"

#include <base/seededrandom.h>

#include <cppunit/extensions/HelperMacros.h>

#include <memory>

namespace sedgecart
{

namespace
{

TargetIncarnation incarnation(const char* _instance)
{
	return TargetIncarnation{InstanceId{_instance}, StartTime{}};
}

/// A service in two halls; each holds a model of 8 layers in two stages.
class FleetFixture
{
public:
	FleetFixture()
	{
		spec_.name = "engine";
		spec_.hasEngine = true;
		spec_.engine.layers = 8;
		spec_.engine.layerMb = 100;
		spec_.engine.kvBytesPerToken = 8e6; // one megabyte per token and layer
		spec_.engine.stepMs = 10;
		card_ = AcceleratorKind{"card", 1000, 1, 1};
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
		return ChoiceQuery{service, excluded, 1, _tokens, Time{1000000}, mechanisms, linkUtilization, false};
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
		target.accelerator = &card_;
		target.load = std::make_shared<TargetLoad>();
		service.targets.push_back(target);
	}

	FleetService service;
	std::set<TargetIncarnation> excluded;
	double linkUtilization = 0;
	Mechanisms mechanisms;

private:
	ServiceSpec spec_;
	AcceleratorKind card_;
};

} // namespace

class TargetChooserTest : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(TargetChooserTest);
	CPPUNIT_TEST(ownHallFirst);
	CPPUNIT_TEST(otherHallWhenOwnIsLoaded);
	CPPUNIT_TEST(leasedRequestsStayInTheirHallWhileItHasAPath);
	CPPUNIT_TEST(othersLoadCounts);
	CPPUNIT_TEST(headsWithoutASlotAreAvoided);
	CPPUNIT_TEST(headsShareByTheirSlots);
	CPPUNIT_TEST(slowTargetsAreAvoided);
	CPPUNIT_TEST(reroutedRequestsAreSpread);
	CPPUNIT_TEST(fullAndMissingTargetsAreDistinguished);
	CPPUNIT_TEST(remainingStagesStayInTheHall);
	CPPUNIT_TEST(endedTargetsAreNotChosen);
	CPPUNIT_TEST(refusedLayersAreNotRequestedAgain);
	CPPUNIT_TEST(theLinkBetweenHallsHasACost);
	CPPUNIT_TEST(aFullLinkBetweenHallsTakesNoNewRequests);
	CPPUNIT_TEST(plainServiceUsesTheLeastLoaded);
	CPPUNIT_TEST_SUITE_END();

public:
	/// Requests beyond a head's slots would queue there, so they go to another hall's head or are refused.
	void headsWithoutASlotAreAvoided()
	{
		FleetFixture fleet;
		Choice choice;
		for (const uint32_t head : {0U, 2U})
		{
			fleet.service.targets[head].record.slots = 8;
		}
		fleet.load(0).requests = 3;
		fleet.load(0).remoteRequests = 5;
		CPPUNIT_ASSERT(SendOutcome::Started == choosePath(fleet.query(10), random_, choice));
		CPPUNIT_ASSERT_EQUAL(2U, choice.stages[0].candidate);
		fleet.load(2).remoteRequests = 8;
		CPPUNIT_ASSERT(SendOutcome::NoCapacity == choosePath(fleet.query(10), random_, choice));
	}

	/// Of two heads in a hall, the one with more free memory must not receive all requests until its slots are used up.
	void headsShareByTheirSlots()
	{
		FleetFixture fleet;
		Choice choice;
		fleet.add(0, LayerSpan{0, 4});
		for (const uint32_t head : {0U, 4U})
		{
			fleet.service.targets[head].record.slots = 10;
		}
		fleet.load(0).requests = 5;
		fleet.load(4).tokenLayers = 100; // slightly less free memory
		CPPUNIT_ASSERT(SendOutcome::Started == choosePath(fleet.query(10), random_, choice));
		CPPUNIT_ASSERT_EQUAL(4U, choice.stages[0].candidate);
		std::string unknown;
		CPPUNIT_ASSERT(fleet.mechanisms.disable("head-slots", unknown));
		CPPUNIT_ASSERT(SendOutcome::Started == choosePath(fleet.query(10), random_, choice));
		CPPUNIT_ASSERT_EQUAL(0U, choice.stages[0].candidate);
	}

	/// When a hall loses its chain, its requests must not all be rerouted to the same remaining chain.
	void reroutedRequestsAreSpread()
	{
		FleetFixture fleet;
		fleet.add(0, LayerSpan{0, 8});
		ChoiceQuery query = fleet.query(10);
		query.isReroute = true;
		uint32_t first = 0;
		constexpr uint32_t kRerouted = 200;
		for (uint32_t rerouted = 0; rerouted < kRerouted; ++rerouted)
		{
			Choice choice;
			CPPUNIT_ASSERT(SendOutcome::Started == choosePath(query, random_, choice));
			first += 4 == choice.stages[0].candidate ? 1 : 0;
		}
		CPPUNIT_ASSERT(kRerouted / 4 < first && first < kRerouted);
	}

	void slowTargetsAreAvoided()
	{
		FleetFixture fleet;
		Choice choice;
		fleet.load(1).reportedSlowdown = 4;
		CPPUNIT_ASSERT(SendOutcome::Started == choosePath(fleet.query(10), random_, choice));
		CPPUNIT_ASSERT_EQUAL(2U, choice.stages[0].candidate);
		fleet.load(1).reportedSlowdown = 1;
		CPPUNIT_ASSERT(SendOutcome::Started == choosePath(fleet.query(10), random_, choice));
		CPPUNIT_ASSERT_EQUAL(0U, choice.stages[0].candidate);
	}

	void ownHallFirst()
	{
		FleetFixture fleet;
		Choice choice;
		CPPUNIT_ASSERT(SendOutcome::Started == choosePath(fleet.query(10), random_, choice));
		CPPUNIT_ASSERT_EQUAL(0U, choice.stages[0].candidate);
		CPPUNIT_ASSERT_EQUAL(1U, choice.stages[1].candidate);
	}

	void otherHallWhenOwnIsLoaded()
	{
		FleetFixture fleet;
		fleet.load(0).tokenLayers = 480; // MB, of 600 that its layers leave
		fleet.load(1).tokenLayers = 480;
		Choice choice;
		CPPUNIT_ASSERT(SendOutcome::Started == choosePath(fleet.query(10), random_, choice));
		CPPUNIT_ASSERT_EQUAL(2U, choice.stages[0].candidate);
		CPPUNIT_ASSERT_EQUAL(3U, choice.stages[1].candidate);
	}

	/// The other hall has lent its capacity to its own nodes.
	void leasedRequestsStayInTheirHallWhileItHasAPath()
	{
		FleetFixture fleet;
		fleet.load(0).tokenLayers = 480; // MB, of 600 that its layers leave
		fleet.load(1).tokenLayers = 480;
		ChoiceQuery query = fleet.query(10);
		query.startsInOwnHall = true;
		Choice choice;
		CPPUNIT_ASSERT(SendOutcome::Started == choosePath(query, random_, choice));
		CPPUNIT_ASSERT_EQUAL(0U, choice.stages[0].candidate);
		fleet.load(1).tokenLayers = 600;
		fleet.load(0).tokenLayers = 600;
		CPPUNIT_ASSERT(SendOutcome::Started == choosePath(query, random_, choice));
		CPPUNIT_ASSERT_EQUAL(2U, choice.stages[0].candidate);
	}

	void othersLoadCounts()
	{
		FleetFixture fleet;
		fleet.load(0).remoteTokenLayers = 480;
		fleet.load(1).remoteTokenLayers = 480;
		Choice choice;
		CPPUNIT_ASSERT(SendOutcome::Started == choosePath(fleet.query(10), random_, choice));
		CPPUNIT_ASSERT_EQUAL(2U, choice.stages[0].candidate);
	}

	void fullAndMissingTargetsAreDistinguished()
	{
		FleetFixture fleet;
		Choice choice;
		CPPUNIT_ASSERT(SendOutcome::NoCapacity == choosePath(fleet.query(200), random_, choice));
		fleet.excluded = {incarnation("i-1"), incarnation("i-3")};
		CPPUNIT_ASSERT(SendOutcome::NoTargets == choosePath(fleet.query(10), random_, choice));
	}

	void remainingStagesStayInTheHall()
	{
		FleetFixture fleet;
		Choice choice;
		CPPUNIT_ASSERT(SendOutcome::Started == choosePath(fleet.query(10), random_, choice));
		fleet.excluded = {incarnation("i-1")};
		CPPUNIT_ASSERT(!chooseRemainingStages(fleet.query(10), hallCrossings(fleet.service, choice), random_, choice));
		fleet.service.targets[3].hall = 0;
		CPPUNIT_ASSERT(SendOutcome::Started == choosePath(fleet.query(10), random_, choice));
		choice.stages = {PathStage{0, LayerSpan{0, 4}}, PathStage{1, LayerSpan{4, 8}}};
		CPPUNIT_ASSERT(chooseRemainingStages(fleet.query(10), hallCrossings(fleet.service, choice), random_, choice));
		CPPUNIT_ASSERT_EQUAL(0U, choice.stages[0].candidate);
		CPPUNIT_ASSERT_EQUAL(3U, choice.stages[1].candidate);
	}

	/// A rerouted request chooses from the fleet as it was when it was sent. There, the record of a target that has
	/// restarted since still shows its layers, and each path over it would be refused.
	void endedTargetsAreNotChosen()
	{
		FleetFixture fleet;
		fleet.service.targets[3].hall = 0;
		Choice choice;
		choice.stages = {PathStage{0, LayerSpan{0, 4}}, PathStage{1, LayerSpan{4, 8}}};
		fleet.excluded = {incarnation("i-1")};
		fleet.load(3).ended = true;
		CPPUNIT_ASSERT(!chooseRemainingStages(fleet.query(10), hallCrossings(fleet.service, choice), random_, choice));
		CPPUNIT_ASSERT(SendOutcome::NoTargets == choosePath(fleet.query(10), random_, choice));
		fleet.excluded.clear();
		for (uint32_t target = 0; target < 4; ++target)
		{
			fleet.load(target).ended = true;
		}
		CPPUNIT_ASSERT(SendOutcome::NoTargets == chooseTarget(fleet.query(0), random_, choice));
	}

	/// A target that reported that it does not hold its layers is not chosen again by the same record, until the report
	/// expires. A record with other layers is newer than the report, and valid at once.
	void refusedLayersAreNotRequestedAgain()
	{
		FleetFixture fleet;
		const LayerSpan held = fleet.service.targets[1].record.layers;
		const Time now = fleet.query(10).now;
		Choice choice;
		fleet.load(1).recordMissingLayers(held, now + Duration::fromMillis(1));
		CPPUNIT_ASSERT(SendOutcome::Started == choosePath(fleet.query(10), random_, choice));
		CPPUNIT_ASSERT_EQUAL(2U, choice.stages[0].candidate);
		fleet.load(1).recordMissingLayers(LayerSpan{0, 4}, now + Duration::fromMillis(1));
		CPPUNIT_ASSERT(SendOutcome::Started == choosePath(fleet.query(10), random_, choice));
		CPPUNIT_ASSERT_EQUAL(0U, choice.stages[0].candidate);
		fleet.load(1).recordMissingLayers(held, now);
		CPPUNIT_ASSERT(SendOutcome::Started == choosePath(fleet.query(10), random_, choice));
		CPPUNIT_ASSERT_EQUAL(0U, choice.stages[0].candidate);
	}

	/// A hall that lacks a stage borrows it over a fast link; over a slow one, its requests run entirely in the other
	/// hall.
	void theLinkBetweenHallsHasACost()
	{
		FleetFixture fleet;
		fleet.excluded = {incarnation("i-1")};
		fleet.engine().usualPromptTokens = 1000;
		fleet.engine().hopBytesPerToken = 20000;
		Choice choice;
		fleet.engine().hallLinkMbps = 1000000;
		CPPUNIT_ASSERT(SendOutcome::Started == choosePath(fleet.query(10), random_, choice));
		CPPUNIT_ASSERT_EQUAL(0U, choice.stages[0].candidate);
		CPPUNIT_ASSERT_EQUAL(3U, choice.stages[1].candidate);
		fleet.engine().hallLinkMbps = 5000;
		CPPUNIT_ASSERT(SendOutcome::Started == choosePath(fleet.query(10), random_, choice));
		CPPUNIT_ASSERT_EQUAL(2U, choice.stages[0].candidate);
	}

	/// A hall has lost a stage and borrows it. New requests beyond the link's capacity are refused at once, although
	/// every target is idle, rather than queued at the link. Rerouted requests still cross, since work has been spent
	/// on them.
	void aFullLinkBetweenHallsTakesNoNewRequests()
	{
		FleetFixture fleet;
		fleet.excluded = {incarnation("i-1"), incarnation("i-2")};
		fleet.engine().usualPromptTokens = 1000;
		fleet.engine().hopBytesPerToken = 20000;
		fleet.engine().hallLinkMbps = 5000;
		Choice choice;
		fleet.linkUtilization = 0.99;
		CPPUNIT_ASSERT(SendOutcome::Started == choosePath(fleet.query(10), random_, choice));
		CPPUNIT_ASSERT_EQUAL(int64_t(320), linkOccupancy(fleet.query(10), choice).micros);
		fleet.linkUtilization = 1.01;
		CPPUNIT_ASSERT(SendOutcome::NoCapacity == choosePath(fleet.query(10), random_, choice));
		ChoiceQuery rerouted = fleet.query(10);
		rerouted.isReroute = true;
		CPPUNIT_ASSERT(SendOutcome::Started == choosePath(rerouted, random_, choice));
	}

	void plainServiceUsesTheLeastLoaded()
	{
		FleetFixture fleet;
		Choice choice;
		fleet.load(0).requests = 2;
		fleet.load(1).requests = 1;
		CPPUNIT_ASSERT(SendOutcome::Started == chooseTarget(fleet.query(0), random_, choice));
		CPPUNIT_ASSERT(2U <= choice.stages[0].candidate);
		fleet.excluded = {incarnation("i-0"), incarnation("i-1"), incarnation("i-2"), incarnation("i-3")};
		CPPUNIT_ASSERT(SendOutcome::NoTargets == chooseTarget(fleet.query(0), random_, choice));
	}

private:
	SeededRandom random_{1};
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetChooserTest);

} // namespace sedgecart

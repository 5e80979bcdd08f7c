// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "layoutfakes.h"

#include <fleet/fleetcontroller.h>
#include <layout/layoutcontroller.h>
#include <settings/entrysettings.h>
#include <wire/sedgecart.pb.h>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

namespace sedgecart
{

namespace
{

constexpr uint32_t kLayers = 80;

/// Parses the documents of one hall: a target's record is "accelerator begin end startTime".
class HallDocuments : public DocumentParserI
{
public:
	bool isDesiredState(const std::string&) const override
	{
		return true;
	}

	bool parseDesiredState(const std::string&, DesiredState& _state) const override
	{
		_state.version = StateVersion{version};
		ServiceSpec service;
		service.name = "engine";
		service.hasEngine = true;
		service.engine.layers = kLayers;
		service.engine.layerMb = 1750;
		service.engine.kvBytesPerToken = 590000;
		service.engine.capacityTokens = 100000;
		service.engine.loadSeconds = loadSeconds;
		service.engine.acceleratorKinds = {AcceleratorKind{"fast", 72000, 2.4, 3.2},
		                                   AcceleratorKind{"small", 14400, 5.3, 7.9},
		                                   AcceleratorKind{"slow", 21600, 16, 8.2}};
		_state.services.push_back(service);
		return true;
	}

	RecordFault::Enum parseRunner(const std::string& _key, const std::string& _text,
	                              RunnerRecord& _record) const override
	{
		std::istringstream words(_text);
		_record.instance = InstanceId{_key};
		_record.address = _key;
		_record.service = "engine";
		_record.hall = "hall";
		words >> _record.accelerator >> _record.layers.begin >> _record.layers.end >> _record.startTime.unixMillis;
		return RecordFault::None;
	}

	uint64_t version = 1;
	double loadSeconds = 0; //!< 0: not configured by the operator.
};

} // namespace

/// Which changes and orders the controller makes on the evidence of the nodes and of its targets' responses.
class LayoutControllerTest : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(LayoutControllerTest);
	CPPUNIT_TEST(layersOfADeadTargetAreReassignedAtOnce);
	CPPUNIT_TEST(nodeThatReachesNoTargetLeavesChangesToOthers);
	CPPUNIT_TEST(weakSuspicionChangesNothing);
	CPPUNIT_TEST(aHallThatSeemsCutOffIsLeftAlone);
	CPPUNIT_TEST(withoutNodeEvidenceItWaitsForTheRegistry);
	CPPUNIT_TEST(conflictReportsThatTheNodeIsBehind);
	CPPUNIT_TEST(outdatedViewChangesNothing);
	CPPUNIT_TEST(ordersOfAnEarlierIncarnationDoNotCountAsHeld);
	CPPUNIT_TEST(orderIsSentOnlyToItsIncarnation);
	CPPUNIT_TEST(incarnationThatReportedItsEndHoldsNothing);
	CPPUNIT_TEST(refusedLayersAreReassignedAtOnce);
	CPPUNIT_TEST(refusalByAnotherTargetIsEvidence);
	CPPUNIT_TEST(invalidHoldsAreIgnored);
	CPPUNIT_TEST(targetsWithLayersOutsideTheModelAreIgnored);
	CPPUNIT_TEST(refusedOrderIsReplacedAtOnce);
	CPPUNIT_TEST(aRefusalEndsTheOrderForAllNodes);
	CPPUNIT_TEST(anUnansweredOrderIsSentAgain);
	CPPUNIT_TEST(startingNodeKnowsActiveOrders);
	CPPUNIT_TEST(slowLoadStaysInEffectForItsLoadTime);
	CPPUNIT_TEST(otherNodeSendsOrdersOfADeadAuthor);
	CPPUNIT_TEST(startingNodeSendsNoOldOrder);
	CPPUNIT_TEST(orderWithoutFreeCapacityIsNotResent);
	CPPUNIT_TEST(startedOrderIsResentWhateverRuns);
	CPPUNIT_TEST_SUITE_END();

public:
	void setUp() override
	{
		fleet_.onOperatorRecord(KeyedRecord{"config", "1", false, Offset{0}});
		add("fast", 1);
		add("small", 6);
		add("slow", 6);
		const EngineSpec& engine = fleet_.routes()->findService("engine")->engine;
		for (const LayoutOrder& order : planLayout(engine, targets_, LayoutPolicy{}))
		{
			targets_[order.target].held = order.layers;
		}
		for (std::size_t index = 0; index < targets_.size(); ++index)
		{
			const LayoutTarget& target = targets_[index];
			put(index, target.held, kStartTime);
		}
		fleet_.onRunnersCurrent();
		fleet_.onOperatorCurrent(clock_.now());
	}

	/// The dead target's registry record has not expired yet; the range that only it held goes to holders of replicas.
	void layersOfADeadTargetAreReassignedAtOnce()
	{
		suspect(soleHolder(), kSureSuspicion);
		evaluateOnce();
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), log_.appended.size());
		wire::LayoutChange change;
		CPPUNIT_ASSERT(change.ParseFromString(log_.appended.front()));
		CPPUNIT_ASSERT(0 < change.holds_size());
		for (const wire::LayoutHold& hold : change.holds())
		{
			CPPUNIT_ASSERT(nameOf(soleHolder()) != hold.target());
		}
	}

	/// Its orders would not arrive, and the change would wait until another node sends them.
	void nodeThatReachesNoTargetLeavesChangesToOthers()
	{
		suspect(soleHolder(), kSureSuspicion);
		cell_.isCutOff = true;
		evaluateOnce();
		CPPUNIT_ASSERT(log_.appended.empty());
		cell_.isCutOff = false;
		evaluateOnce();
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), log_.appended.size());
	}

	void weakSuspicionChangesNothing()
	{
		suspect(soleHolder(), kWeakSuspicion);
		evaluateOnce();
		CPPUNIT_ASSERT(log_.appended.empty());
	}

	/// Another node made a change that this node has not read. If its read of the topic hangs, each of its appends
	/// would conflict.
	void conflictReportsThatTheNodeIsBehind()
	{
		uint32_t calls = 0;
		suspect(soleHolder(), kSureSuspicion);
		LayoutController keeper(loop_, log_, orders_, clock_, fleet_, settings_);
		keeper.setOnBehind(
		    [&calls]
		    {
			    ++calls;
		    });
		keeper.onCurrent(Offset{3});
		keeper.start();
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), log_.calls.size());
		log_.calls.front()(KeyedAppend{StoreState::Conflict, Offset{}, Offset{5}});
		CPPUNIT_ASSERT_EQUAL(1U, calls);
	}

	/// Guards against a node that the store refuses and that still tries to append at each evaluation, which costs a
	/// call each time.
	void outdatedViewChangesNothing()
	{
		suspect(soleHolder(), kSureSuspicion);
		fleet_.onOperatorCurrent(Time{clock_.now().micros - 10000000});
		evaluateOnce();
		CPPUNIT_ASSERT(log_.appended.empty());
	}

	/// Three of thirteen targets seem dead at once: the link to the hall has failed, and its targets still hold their
	/// layers.
	void aHallThatSeemsCutOffIsLeftAlone()
	{
		suspect(soleHolder(), kSureSuspicion);
		suspect(1, kSureSuspicion);
		suspect(2, kSureSuspicion);
		evaluateOnce();
		CPPUNIT_ASSERT(log_.appended.empty());
	}

	void withoutNodeEvidenceItWaitsForTheRegistry()
	{
		std::string unknown;
		CPPUNIT_ASSERT(settings_.mechanisms.disable("own-evidence", unknown));
		suspect(soleHolder(), kSureSuspicion);
		evaluateOnce();
		CPPUNIT_ASSERT(log_.appended.empty());
	}

	/// A target was ordered to hold a range and restarts before it has loaded it. The order is in effect for 6 s, but
	/// the target holds nothing: the missing range must be assigned at once, not after those 6 s.
	void ordersOfAnEarlierIncarnationDoNotCountAsHeld()
	{
		LayoutController keeper(loop_, log_, orders_, clock_, fleet_, settings_);
		const LayerSpan held = targets_[soleHolder()].held;
		keeper.onRecord(KeyedRecord{"newest", changeOf(soleHolder(), held, kStartTime), false, Offset{1}});
		restart(soleHolder());
		keeper.onCurrent(Offset{2});
		keeper.start();
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), log_.appended.size());
	}

	/// The author reads its own change back, and one of its targets has restarted meanwhile: that target gets no order,
	/// since the order was planned for the layers that the earlier incarnation held.
	void orderIsSentOnlyToItsIncarnation()
	{
		restart(soleHolder());
		LayoutController keeper(loop_, log_, orders_, clock_, fleet_, settings_);
		keeper.onCurrent(Offset{1});
		keeper.start();
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), log_.appended.size());
		wire::LayoutChange change;
		CPPUNIT_ASSERT(change.ParseFromString(log_.appended.front()));
		CPPUNIT_ASSERT(0 < change.holds_size());
		const std::string first = change.holds(0).target();
		CPPUNIT_ASSERT(0 != change.holds(0).born());
		put(indexOf(first), LayerSpan{}, kStartTime + 7);
		keeper.onRecord(KeyedRecord{"newest", log_.appended.front(), false, Offset{1}});
		CPPUNIT_ASSERT_EQUAL(static_cast<std::size_t>(change.holds_size() - 1), orders_.ordered.size());
		CPPUNIT_ASSERT(orders_.ordered.end() == std::find(orders_.ordered.begin(), orders_.ordered.end(), first));
	}

	/// The target's own report is the first to show a restart, while the registry still shows the layers of the earlier
	/// incarnation.
	void incarnationThatReportedItsEndHoldsNothing()
	{
		fleet_.loads().at(nameOf(soleHolder()))->ended = true;
		evaluateOnce();
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), log_.appended.size());
	}

	/// A target refused a request because it lacks the layers of its stage. No other target holds them, and the
	/// registry may show them there for some more seconds.
	void refusedLayersAreReassignedAtOnce()
	{
		fleet_.loads().at(nameOf(soleHolder()))->recordMissingLayers(targets_[soleHolder()].held, Time{INT64_MAX});
		evaluateOnce();
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), log_.appended.size());
	}

	/// Another target has taken over the address and refuses the order: the target that was ordered is considered to
	/// lack its layers.
	void refusalByAnotherTargetIsEvidence()
	{
		suspect(soleHolder(), kSureSuspicion);
		LayoutController keeper(loop_, log_, orders_, clock_, fleet_, settings_);
		keeper.onCurrent(Offset{1});
		keeper.start();
		keeper.onRecord(KeyedRecord{"newest", log_.appended.front(), false, Offset{1}});
		const std::string first = orders_.ordered.front();
		const TargetLoad& load = *fleet_.loads().at(first);
		const LayerSpan held = fleet_.runners().at(first).layers;
		orders_.calls.front()(LayoutOrderState::Unfit);
		CPPUNIT_ASSERT(!load.lacksLayers(held, clock_.now()));
		orders_.calls.front()(LayoutOrderState::OtherTarget);
		CPPUNIT_ASSERT(load.lacksLayers(held, clock_.now()));
	}

	/// A layout record of another version or another author has layers that end before they begin or lie outside the
	/// model. Guards against treating them as held by the target, in which case the planner iterates over them.
	void invalidHoldsAreIgnored()
	{
		const std::vector<LayerSpan> odd = {LayerSpan{0, UINT32_MAX}, LayerSpan{UINT32_MAX, 0},
		                                    LayerSpan{kLayers, kLayers + 1}, LayerSpan{60, 20}};
		suspect(soleHolder(), kSureSuspicion);
		LayoutController keeper(loop_, log_, orders_, clock_, fleet_, settings_);
		wire::LayoutChange change;
		change.set_author("somebody");
		for (std::size_t index = 0; index < targets_.size(); ++index)
		{
			const LayerSpan span = odd[index % odd.size()];
			wire::LayoutHold* const hold = change.add_holds();
			hold->set_target(nameOf(index));
			hold->set_begin(span.begin);
			hold->set_end(span.end);
		}
		keeper.onRecord(KeyedRecord{"newest", change.SerializeAsString(), false, Offset{0}});
		keeper.onRecord(KeyedRecord{"newest", "\xff\xff", false, Offset{1}});
		keeper.onRecord(KeyedRecord{"newest", "", true, Offset{2}});
		keeper.onCurrent(Offset{3});
		keeper.start();
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), log_.appended.size());
		for (const LayerSpan span : orderedSpans())
		{
			CPPUNIT_ASSERT(span.begin < span.end && span.end <= kLayers);
		}
	}

	/// Registry records with layers that the model does not have are ignored by the layout.
	void targetsWithLayersOutsideTheModelAreIgnored()
	{
		suspect(soleHolder(), kSureSuspicion);
		fleet_.onRunnerRecord(KeyedRecord{"odd1", "slow 0 4000000000", false, Offset{90}});
		fleet_.onRunnerRecord(KeyedRecord{"odd2", "slow 70 81", false, Offset{91}});
		fleet_.onRunnerRecord(KeyedRecord{"odd3", "unheard-of 70 80", false, Offset{92}});
		fleet_.onRunnersCurrent();
		evaluateOnce();
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), log_.appended.size());
		const RcuCell<FleetView>::Reader view(cell_.view);
		CPPUNIT_ASSERT_EQUAL(targets_.size(), view->services.at("engine")->targets.size());
	}

	/// A target refuses an order because it is still busy with an earlier one. Guards against its layers counting as
	/// held for 6 s, during which no other target gets them.
	void refusedOrderIsReplacedAtOnce()
	{
		addEmpty();
		addEmpty();
		suspect(soleHolder(), kSureSuspicion);
		LayoutController keeper(loop_, log_, orders_, clock_, fleet_, settings_);
		makeChange(keeper, 1);
		const wire::LayoutChange first = changeAt(0);
		orders_.calls.front()(LayoutOrderState::Unfit);
		advance(200);
		keeper.start();
		CPPUNIT_ASSERT_EQUAL(std::size_t(2), log_.appended.size());
		const wire::LayoutChange second = changeAt(1);
		CPPUNIT_ASSERT(0 < second.holds_size());
		for (const wire::LayoutHold& hold : second.holds())
		{
			const wire::LayoutHold& refused = first.holds(0);
			CPPUNIT_ASSERT(refused.target() != hold.target() || refused.begin() != hold.begin() ||
			               refused.end() != hold.end());
		}
	}

	/// The order is in effect on another node; the author's next record reports that it was refused.
	void aRefusalEndsTheOrderForAllNodes()
	{
		addEmpty();
		addEmpty();
		suspect(soleHolder(), kSureSuspicion);
		LayoutController author(loop_, log_, orders_, clock_, fleet_, settings_);
		makeChange(author, 1);
		const std::size_t sent = orders_.calls.size();
		LayoutController other(loop_, log_, orders_, clock_, fleet_, settings_);
		other.onRecord(KeyedRecord{"newest", log_.appended.front(), false, Offset{1}});
		other.onCurrent(Offset{2});
		other.start();
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), log_.appended.size());
		for (std::size_t index = 0; index < sent; ++index)
		{
			orders_.calls[index](LayoutOrderState::Unfit);
		}
		advance(200);
		author.start();
		CPPUNIT_ASSERT_EQUAL(std::size_t(2), log_.appended.size());
		wire::LayoutChange refusal = changeAt(1);
		refusal.clear_holds(); // the replacement orders would hide whether the refusal is known
		other.onRecord(KeyedRecord{"newest", refusal.SerializeAsString(), false, Offset{2}});
		other.onCurrent(Offset{3});
		other.start();
		CPPUNIT_ASSERT_EQUAL(std::size_t(3), log_.appended.size());
		CPPUNIT_ASSERT(0 < changeAt(2).holds_size());
	}

	/// The order may have been lost or accepted: resending it with the same fence resolves this and undoes no later
	/// order.
	void anUnansweredOrderIsSentAgain()
	{
		suspect(soleHolder(), kSureSuspicion);
		LayoutController keeper(loop_, log_, orders_, clock_, fleet_, settings_);
		makeChange(keeper, 1);
		const std::size_t sent = orders_.calls.size();
		for (std::size_t index = 0; index < sent; ++index)
		{
			orders_.calls[index](0 == index ? LayoutOrderState::Unknown : LayoutOrderState::Begun);
		}
		advance(600);
		keeper.start();
		CPPUNIT_ASSERT_EQUAL(sent + 1, orders_.ordered.size());
		CPPUNIT_ASSERT_EQUAL(orders_.ordered.front(), orders_.ordered.back());
		CPPUNIT_ASSERT_EQUAL(orders_.fences.front(), orders_.fences.back());
		advance(600);
		keeper.start(); // only one resend at a time
		CPPUNIT_ASSERT_EQUAL(sent + 1, orders_.ordered.size());
		orders_.calls.back()(LayoutOrderState::Held);
		advance(600);
		keeper.start();
		CPPUNIT_ASSERT_EQUAL(sent + 1, orders_.ordered.size());
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), log_.appended.size());
	}

	/// The topic retains only its newest record. Guards against a starting node that gives targets new orders while
	/// they load what an earlier record ordered.
	void startingNodeKnowsActiveOrders()
	{
		suspect(soleHolder(), kSureSuspicion);
		LayoutController author(loop_, log_, orders_, clock_, fleet_, settings_);
		makeChange(author, 1);
		restart(otherSoleHolder());
		advance(200);
		author.start();
		CPPUNIT_ASSERT_EQUAL(std::size_t(2), log_.appended.size());
		LayoutController starting(loop_, log_, orders_, clock_, fleet_, settings_);
		starting.onRecord(KeyedRecord{"newest", log_.appended.back(), false, Offset{2}});
		starting.onCurrent(Offset{3});
		starting.start();
		CPPUNIT_ASSERT_EQUAL(std::size_t(2), log_.appended.size());
	}

	/// A range that takes long to load is not ordered from another target before its load time is over, and is ordered
	/// after that.
	void slowLoadStaysInEffectForItsLoadTime()
	{
		documents_.version = 2;
		documents_.loadSeconds = 800; // 10 s a layer
		fleet_.onOperatorRecord(KeyedRecord{"config", "2", false, Offset{1}});
		suspect(soleHolder(), kSureSuspicion);
		LayoutController author(loop_, log_, orders_, clock_, fleet_, settings_);
		makeChange(author, 1);
		LayoutController other(loop_, log_, orders_, clock_, fleet_, settings_);
		other.onRecord(KeyedRecord{"newest", log_.appended.front(), false, Offset{1}});
		other.onCurrent(Offset{2});
		advance(9000);
		other.start();
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), log_.appended.size());
		advance(2000000);
		other.start();
		CPPUNIT_ASSERT_EQUAL(std::size_t(2), log_.appended.size());
	}

	/// The author ended before it sent its orders: once they should have been carried out, another node sends them with
	/// the same fence.
	void otherNodeSendsOrdersOfADeadAuthor()
	{
		documents_.version = 2;
		documents_.loadSeconds = 8;
		fleet_.onOperatorRecord(KeyedRecord{"config", "2", false, Offset{1}});
		suspect(soleHolder(), kSureSuspicion);
		evaluateOnce();
		CPPUNIT_ASSERT(orders_.ordered.empty());
		LayoutController other(loop_, log_, orders_, clock_, fleet_, settings_);
		other.onCurrent(Offset{4}); // it was already running and reads the record when it is appended
		other.onRecord(KeyedRecord{"newest", log_.appended.front(), false, Offset{4}});
		other.onCurrent(Offset{5});
		other.start();
		CPPUNIT_ASSERT(orders_.ordered.empty());
		const wire::LayoutChange change = changeAt(0);
		const auto wanted = static_cast<std::size_t>(change.holds_size());
		advance(3000); // too early for any load to be complete and visible in the registry
		other.start();
		CPPUNIT_ASSERT(orders_.ordered.empty());
		for (std::size_t rounds = 0; rounds < 60 && orders_.ordered.size() < wanted; ++rounds)
		{
			advance(200);
			other.start();
		}
		CPPUNIT_ASSERT_EQUAL(wanted, orders_.ordered.size());
		for (const wire::LayoutHold& hold : change.holds())
		{
			CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t(1),
			                     std::count(orders_.ordered.begin(), orders_.ordered.end(), hold.target()));
		}
		CPPUNIT_ASSERT(std::all_of(orders_.fences.begin(), orders_.fences.end(),
		                           [](uint64_t _fence)
		                           {
			                           return 5 == _fence;
		                           }));
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), log_.appended.size());
	}

	/// The order was not answered, and by the time that it is due to be resent, requests have filled its target.
	void orderWithoutFreeCapacityIsNotResent()
	{
		suspect(soleHolder(), kSureSuspicion);
		LayoutController keeper(loop_, log_, orders_, clock_, fleet_, settings_);
		makeChange(keeper, 1);
		const std::size_t sent = orders_.calls.size();
		for (std::size_t index = 0; index < sent; ++index)
		{
			orders_.calls[index](LayoutOrderState::Unknown);
		}
		fillTargets();
		advance(600);
		keeper.start();
		const wire::LayoutChange change = changeAt(0);
		CPPUNIT_ASSERT(0 < sent);
		for (std::size_t index = sent; index < orders_.ordered.size(); ++index)
		{
			for (const wire::LayoutHold& hold : change.holds())
			{
				if (hold.target() == orders_.ordered[index])
				{
					const LayoutTarget& one = targets_[indexOf(hold.target())];
					CPPUNIT_ASSERT(hold.end() - hold.begin() <= one.held.size());
				}
			}
		}
	}

	/// The target is already loading, and resending the order only queries its state.
	void startedOrderIsResentWhateverRuns()
	{
		documents_.version = 2;
		documents_.loadSeconds = 8;
		fleet_.onOperatorRecord(KeyedRecord{"config", "2", false, Offset{1}});
		suspect(soleHolder(), kSureSuspicion);
		LayoutController keeper(loop_, log_, orders_, clock_, fleet_, settings_);
		makeChange(keeper, 1);
		const std::size_t sent = orders_.calls.size();
		for (std::size_t index = 0; index < sent; ++index)
		{
			orders_.calls[index](LayoutOrderState::Begun);
		}
		fillTargets();
		for (int rounds = 0; rounds < 60; ++rounds)
		{
			advance(200);
			keeper.start();
		}
		CPPUNIT_ASSERT_EQUAL(2 * sent, orders_.ordered.size());
	}

	/// The newest record is hours old and its order was never carried out; no layers are missing now.
	void startingNodeSendsNoOldOrder()
	{
		for (std::size_t index = 0; index < targets_.size(); ++index)
		{
			LayoutController keeper(loop_, log_, orders_, clock_, fleet_, settings_);
			keeper.onRecord(KeyedRecord{"newest", changeOf(index, LayerSpan{0, 1}, kStartTime), false, Offset{1}});
			keeper.onCurrent(Offset{2});
			for (int rounds = 0; rounds < 60; ++rounds)
			{
				keeper.start();
				advance(200);
			}
		}
		CPPUNIT_ASSERT_EQUAL(std::size_t(0), orders_.ordered.size());
		CPPUNIT_ASSERT_EQUAL(std::size_t(0), log_.appended.size());
	}

private:
	/// Fills all the memory that the layers currently held leave for requests.
	void fillTargets()
	{
		const EngineSpec& engine = fleet_.routes()->findService("engine")->engine;
		for (std::size_t index = 0; index < targets_.size(); ++index)
		{
			const LayoutTarget& one = targets_[index];
			const auto capacity = static_cast<uint64_t>(capacityFor(engine, one.card, one.held.size()));
			fleet_.loads().at(nameOf(index))->tokenLayers = capacity * one.held.size();
		}
	}

	wire::LayoutChange changeAt(std::size_t _index) const
	{
		wire::LayoutChange change;
		CPPUNIT_ASSERT(change.ParseFromString(log_.appended.at(_index)));
		return change;
	}

	/// Makes a node append a change at `_offset`, read it back and send its orders.
	void makeChange(LayoutController& _keeper, uint64_t _offset)
	{
		const std::size_t before = log_.appended.size();
		_keeper.onCurrent(Offset{_offset});
		_keeper.start();
		CPPUNIT_ASSERT_EQUAL(before + 1, log_.appended.size());
		log_.calls.back()(KeyedAppend{StoreState::Done, Offset{_offset}, Offset{_offset + 1}});
		_keeper.onRecord(KeyedRecord{"newest", log_.appended.back(), false, Offset{_offset}});
		_keeper.onCurrent(Offset{_offset + 1});
		CPPUNIT_ASSERT(!orders_.calls.empty());
	}

	/// Adds a target that holds nothing and could take any range.
	void addEmpty()
	{
		add("fast", 1);
		put(targets_.size() - 1, LayerSpan{}, kStartTime);
		fleet_.onRunnersCurrent();
	}

	/// Advances the clock and renews the proof of the desired state.
	void advance(int64_t _millis)
	{
		clock_.at = clock_.at + Duration::fromMillis(_millis);
		fleet_.onOperatorCurrent(clock_.now());
	}

	/// @returns a target that is the only holder of some layers, has received no order and is not the lost target.
	std::size_t otherSoleHolder() const
	{
		for (std::size_t index = 0; index < targets_.size(); ++index)
		{
			const bool isOrdered =
			    orders_.ordered.end() != std::find(orders_.ordered.begin(), orders_.ordered.end(), nameOf(index));
			if (index != soleHolder() && !isOrdered && isSoleHolder(index))
			{
				return index;
			}
		}
		CPPUNIT_FAIL("no other target holds layers alone");
		return 0;
	}

	bool isSoleHolder(std::size_t _target) const
	{
		const LayerSpan span = targets_[_target].held;
		for (uint32_t layer = span.begin; layer < span.end; ++layer)
		{
			const auto holders = std::count_if(targets_.begin(), targets_.end(),
			                                   [layer](const LayoutTarget& _one)
			                                   {
				                                   return _one.held.begin <= layer && layer < _one.held.end;
			                                   });
			if (1 == holders)
			{
				return true;
			}
		}
		return false;
	}

	/// @returns the layers that the last change assigns.
	std::vector<LayerSpan> orderedSpans() const
	{
		wire::LayoutChange change;
		CPPUNIT_ASSERT(change.ParseFromString(log_.appended.back()));
		std::vector<LayerSpan> spans;
		for (const wire::LayoutHold& hold : change.holds())
		{
			spans.push_back(LayerSpan{hold.begin(), hold.end()});
		}
		return spans;
	}

	static constexpr int64_t kStartTime = 1790000000000;

	void put(std::size_t _target, LayerSpan _held, int64_t _startTime)
	{
		const std::string text = targets_[_target].card.name + ' ' + std::to_string(_held.begin) + ' ' +
		                         std::to_string(_held.end) + ' ' + std::to_string(_startTime);
		fleet_.onRunnerRecord(KeyedRecord{nameOf(_target), text, false, Offset{_target}});
	}

	void restart(std::size_t _target)
	{
		put(_target, LayerSpan{}, kStartTime + 5);
		fleet_.onRunnersCurrent();
	}

	std::string changeOf(std::size_t _target, LayerSpan _layers, int64_t _startTime) const
	{
		wire::LayoutChange change;
		change.set_author("another");
		wire::LayoutHold* const hold = change.add_holds();
		hold->set_target(nameOf(_target));
		hold->set_begin(_layers.begin);
		hold->set_end(_layers.end);
		hold->set_born(_startTime);
		return change.SerializeAsString();
	}

	std::size_t indexOf(const std::string& _name) const
	{
		std::size_t index = 0;
		while (nameOf(index) != _name)
		{
			++index;
		}
		return index;
	}

	static std::string nameOf(std::size_t _target)
	{
		return "t" + std::to_string(_target);
	}

	void add(const char* _card, int _count)
	{
		const EngineSpec& engine = fleet_.routes()->findService("engine")->engine;
		for (int index = 0; index < _count; ++index)
		{
			targets_.push_back(LayoutTarget{0, *findAcceleratorKind(engine, _card), LayerSpan{}, 0, LayerSpan{}});
		}
	}

	/// @returns the only holder of the last layer; replicas cover the first layers.
	std::size_t soleHolder() const
	{
		std::size_t found = 0;
		for (std::size_t index = 0; index < targets_.size(); ++index)
		{
			found = kLayers == targets_[index].held.end ? index : found;
		}
		return found;
	}

	void suspect(std::size_t _target, uint32_t _suspicion)
	{
		TargetLoad& load = *fleet_.loads().at(nameOf(_target));
		load.suspicion = _suspicion;
		load.suspectedUntil = INT64_MAX;
	}

	void evaluateOnce()
	{
		LayoutController keeper(loop_, log_, orders_, clock_, fleet_, settings_);
		keeper.onCurrent(Offset{0});
		keeper.start();
	}

	boost::asio::io_context loop_;
	HallDocuments documents_;
	FleetCell cell_;
	ManualClock clock_;
	RecordingLog log_;
	RecordingOrders orders_;
	EntrySettings settings_;
	FleetController fleet_{documents_, cell_, clock_, "hall"};
	std::vector<LayoutTarget> targets_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(LayoutControllerTest);

} // namespace sedgecart

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <fleet/fleetcontroller.h>
#include <wire/sedgecart.pb.h>

#include <cppunit/extensions/HelperMacros.h>

#include <limits>
#include <sstream>

namespace sedgecart
{

namespace
{

/// Parses documents of one or two words. A desired state is its version, followed by "none" if it has no service. A
/// target's record is its service, with a leading "!" if it drains, its start time and its sequence; a leading "?"
/// makes it invalid. The part of a key before its dash is the target's address.
class SimpleDocuments : public DocumentParserI
{
public:
	bool isDesiredState(const std::string& _key) const override
	{
		return "config" == _key;
	}

	bool parseDesiredState(const std::string& _text, DesiredState& _state) const override
	{
		_state.version = StateVersion{std::stoull(_text)};
		ServiceSpec service;
		service.name = "plain";
		if (std::string::npos == _text.find("none"))
		{
			_state.services.push_back(service);
		}
		return true;
	}

	RecordFault::Enum parseRunner(const std::string& _key, const std::string& _text,
	                              RunnerRecord& _record) const override
	{
		_record.instance = InstanceId{_key};
		_record.address = _key.substr(0, _key.find('-'));
		if ('?' == _text.front())
		{
			return RecordFault::WrongType;
		}
		_record.draining = '!' == _text.front();
		std::istringstream words(_record.draining ? _text.substr(1) : _text);
		words >> _record.service >> _record.startTime.unixMillis >> _record.sequence.value;
		return RecordFault::None;
	}
};

class ManualClock : public ClockI
{
public:
	Time now() const override
	{
		return now_;
	}

	void advance(int64_t _millis)
	{
		now_ = now_ + Duration::fromMillis(_millis);
	}

private:
	Time now_{1000000};
};

} // namespace

class FleetControllerTest : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(FleetControllerTest);
	CPPUNIT_TEST(addsAndRemovesTargets);
	CPPUNIT_TEST(drainingTargetsAreNotInTheView);
	CPPUNIT_TEST(lapsedRecordsMayBeRenewedAfterAnOutage);
	CPPUNIT_TEST(olderVersionsAreIgnored);
	CPPUNIT_TEST(removedServicesStayForARetentionTime);
	CPPUNIT_TEST(aRestartStartsWithANewLoad);
	CPPUNIT_TEST(anEarlierStartTimeInALaterRecordIsARestart);
	CPPUNIT_TEST(aRecordWithoutAStartTimeIsNoRestart);
	CPPUNIT_TEST(recordsFromAnOutdatedCacheAreIgnored);
	CPPUNIT_TEST(aReappearingTargetKeepsItsLoad);
	CPPUNIT_TEST(aDeadTargetLosesItsAddressAtOnce);
	CPPUNIT_TEST(invalidNodeRecordsAreIgnored);
	CPPUNIT_TEST(recordsOfManyNodesPublishOneView);
	CPPUNIT_TEST(budgetsAreNotDividedByAPartOfTheRegistry);
	CPPUNIT_TEST(budgetsAreNotUsedLongAfterTheStoreWasRead);
	CPPUNIT_TEST(otherNodesThatTakeRequestsArePeers);
	CPPUNIT_TEST(anInvalidRecordTakesTheTargetOutOfUse);
	CPPUNIT_TEST(anInvalidRecordIsNotALapsedOne);
	CPPUNIT_TEST(anUnknownServiceMayBecomeKnown);
	CPPUNIT_TEST(anAddressInUseIsNotTakenOver);
	CPPUNIT_TEST(aLateRecordReturnsNoLeavingTargetToUse);
	CPPUNIT_TEST(aLateRecordReturnsNoRemovedTargetToUse);
	CPPUNIT_TEST(aLateRecordOfAnEarlierStartIsNoRestart);
	CPPUNIT_TEST(aRestartedTargetCountsAnew);
	CPPUNIT_TEST_SUITE_END();

public:
	void setUp() override
	{
		put("a", "plain");
		put("b", "plain");
		state("1");
		fleet_.onRunnersCurrent();
	}

	void addsAndRemovesTargets()
	{
		CPPUNIT_ASSERT_EQUAL(std::size_t(2), targets());
		put("a", "");
		CPPUNIT_ASSERT(!fleet_.onRunnersCurrent());
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), targets());
	}

	void drainingTargetsAreNotInTheView()
	{
		put("a", "!plain");
		fleet_.onRunnersCurrent();
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), targets());
	}

	/// Targets whose records lapse during an outage of the store stay in use for the grace. Those without a new record
	/// by then are removed; draining ones are removed at once.
	void lapsedRecordsMayBeRenewedAfterAnOutage()
	{
		put("c", "!plain");
		fleet_.onRunnersCurrent();
		fleet_.onStoreUnavailable();
		put("a", "");
		put("b", "");
		put("c", "");
		CPPUNIT_ASSERT(fleet_.onRunnersCurrent());
		CPPUNIT_ASSERT_EQUAL(std::size_t(2), targets());
		CPPUNIT_ASSERT_EQUAL(std::size_t(2), fleet_.runners().size());
		put("a", "plain");
		CPPUNIT_ASSERT(!fleet_.onRunnersCurrent());
		fleet_.dropLapsed();
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), targets());
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), fleet_.runners().count("a"));
	}

	void olderVersionsAreIgnored()
	{
		state("5");
		state("3");
		CPPUNIT_ASSERT(StateVersion{5} == fleet_.routes()->state().version);
	}

	/// A stream admitted for a removed service may have to continue at another target: one of the current targets, not
	/// of those at the time of the removal.
	void removedServicesStayForARetentionTime()
	{
		state("2 none");
		CPPUNIT_ASSERT(nullptr == fleet_.routes()->findService("plain"));
		CPPUNIT_ASSERT_EQUAL(std::size_t(2), targets());
		clock_.advance(FleetController::kServiceRetention.millis());
		put("a", "");
		fleet_.onRunnersCurrent();
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), targets());
		clock_.advance(1);
		put("c", "plain");
		fleet_.onRunnersCurrent();
		CPPUNIT_ASSERT_EQUAL(std::size_t(0), services());
		state("3");
		CPPUNIT_ASSERT_EQUAL(std::size_t(2), targets());
	}

	/// Nodes connect to the address of a record and sort by its CPU share, so that both must be valid. An invalid
	/// record leaves the known address in place, since its node may run another version.
	void invalidNodeRecordsAreIgnored()
	{
		placeNode("n1", "10.0.0.1:80", "h1", 0.5);
		for (const char* const address : {"", "10.0.0.1", "10.0.0.1:0", "10.0.0.1:70000", "a b:1", "10.0.0.1:80 "})
		{
			placeNode("odd", address, "h1", 0.5);
		}
		placeNode("odd", "10.0.0.2:80", "", 0.5);
		for (const double share : {-1.0, std::numeric_limits<double>::quiet_NaN(), 1e300})
		{
			placeNode("odd", "10.0.0.2:80", "h1", share);
			placeNode("n1", "10.0.0.9:80", "h1", share);
		}
		fleet_.onNodeRecord(KeyedRecord{"n1", "\xff\xff", false, Offset{0}});
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), fleet_.nodes().size());
		CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.1:80"), fleet_.nodes().at("n1").address);
	}

	/// Each record of a node published a view of all targets: at a start of 1,000 nodes with 3,000 targets each node
	/// copied three million records.
	void recordsOfManyNodesPublishOneView()
	{
		const uint32_t before = publishedNodes();
		for (const char* const name : {"n1", "n2", "n3"})
		{
			placeNode(name, "10.0.0.1:80", "h1", 0.5);
			CPPUNIT_ASSERT_EQUAL(before, publishedNodes());
		}
		CPPUNIT_ASSERT(fleet_.onNodesCurrent());
		CPPUNIT_ASSERT_EQUAL(3U, publishedNodes());
		placeNode("n1", "10.0.0.1:80", "h1", 0.5); // announced again
		CPPUNIT_ASSERT(!fleet_.onNodesCurrent());
		placeNode("n1", "10.0.0.1:80", "h1", 0.25);
		CPPUNIT_ASSERT(fleet_.onNodesCurrent());
		fleet_.onNodeRecord(KeyedRecord{"n1", "", true, Offset{0}});
		CPPUNIT_ASSERT(fleet_.onNodesCurrent());
		CPPUNIT_ASSERT_EQUAL(2U, publishedNodes());
	}

	void budgetsAreNotDividedByAPartOfTheRegistry()
	{
		fleet_.onOperatorCurrent(clock_.now());
		placeNode("n1", "10.0.0.1:80", "h1", 0.5);
		put("a", "plain");
		fleet_.onRunnersCurrent(); // publishes a view before all nodes' records have been applied
		CPPUNIT_ASSERT_EQUAL(0U, cell_.budgetNodes(clock_.now()).count);
		placeNode("n2", "10.0.0.2:80", "h1", 0.5);
		fleet_.onNodesCurrent();
		CPPUNIT_ASSERT_EQUAL(2U, cell_.budgetNodes(clock_.now()).count);
		fleet_.onNodeRecord(KeyedRecord{"n2", "", true, Offset{0}});
		fleet_.onNodesCurrent();
		CPPUNIT_ASSERT_EQUAL(2U, cell_.budgetNodes(clock_.now()).count); // its record may have lapsed while it lives
	}

	void budgetsAreNotUsedLongAfterTheStoreWasRead()
	{
		fleet_.onOperatorCurrent(clock_.now());
		placeNode("n1", "10.0.0.1:80", "h1", 0.5);
		fleet_.onNodesCurrent();
		CPPUNIT_ASSERT_EQUAL(1U, cell_.budgetNodes(clock_.now()).count);
		clock_.advance(FleetCell::kNodeCountTrust.millis());
		CPPUNIT_ASSERT_EQUAL(0U, cell_.budgetNodes(clock_.now()).count);
		fleet_.onOperatorCurrent(clock_.now());
		CPPUNIT_ASSERT_EQUAL(1U, cell_.budgetNodes(clock_.now()).count);
	}

	void otherNodesThatTakeRequestsArePeers()
	{
		fleet_.setSelf("n1");
		placeNode("n1", "10.0.0.1:80", "h1", 0.5, "10.0.0.1:81");
		placeNode("n2", "10.0.0.2:80", "h2", 0.5, "10.0.0.2:81");
		placeNode("old", "10.0.0.3:80", "h1", 0.5);
		placeNode("odd", "10.0.0.4:80", "h1", 0.5, "10.0.0.4");
		fleet_.onNodesCurrent();
		CPPUNIT_ASSERT(std::vector<std::string>{"10.0.0.2:81"} == peers());
		placeNode("n2", "10.0.0.2:80", "h1", 0.5, "10.0.0.2:91"); // started again
		fleet_.onNodesCurrent();
		CPPUNIT_ASSERT(std::vector<std::string>{"10.0.0.2:91"} == peers());
	}

	/// The other targets stay in use, and the next valid record brings the target back with its load.
	void anInvalidRecordTakesTheTargetOutOfUse()
	{
		const std::shared_ptr<TargetLoad> load = fleet_.loads().at("a");
		put("a", "?");
		CPPUNIT_ASSERT_EQUAL(std::size_t(2), targets()); // until all records read have been applied
		fleet_.onRunnersCurrent();
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), targets());
		CPPUNIT_ASSERT_EQUAL(std::size_t(0), fleet_.runners().count("a"));
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), fleet_.skippedRecords().count());
		put("a", "plain");
		fleet_.onRunnersCurrent();
		CPPUNIT_ASSERT_EQUAL(std::size_t(2), targets());
		CPPUNIT_ASSERT_EQUAL(std::size_t(0), fleet_.skippedRecords().count());
		CPPUNIT_ASSERT(load == fleet_.loads().at("a")); // the requests in flight there still count
		put("a", "?");
		put("a", "");
		CPPUNIT_ASSERT_EQUAL(std::size_t(0), fleet_.loads().count("a"));
		put("c", "?");
		put("c", "");
		CPPUNIT_ASSERT_EQUAL(std::size_t(0), fleet_.skippedRecords().count());
	}

	/// A target whose record lapsed during an outage of the store stays in use. One whose record was written again but
	/// is invalid does not.
	void anInvalidRecordIsNotALapsedOne()
	{
		fleet_.onStoreUnavailable();
		put("a", "");
		put("a", "?");
		CPPUNIT_ASSERT(!fleet_.onRunnersCurrent());
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), targets());
	}

	void anUnknownServiceMayBecomeKnown()
	{
		put("c", "later");
		fleet_.onRunnersCurrent();
		CPPUNIT_ASSERT_EQUAL(std::size_t(2), targets());
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), fleet_.skippedRecords().count());
		CPPUNIT_ASSERT(std::string::npos != fleet_.skippedRecords().toJson().find("unknown_service"));
		put("c", "plain");
		fleet_.onRunnersCurrent();
		CPPUNIT_ASSERT_EQUAL(std::size_t(3), targets());
		CPPUNIT_ASSERT_EQUAL(std::size_t(0), fleet_.skippedRecords().count());
	}

	/// A record with the address of another target in use does not displace that target. The address passes to the new
	/// target once the old one's record is removed, or is not renewed while the new one's is.
	void anAddressInUseIsNotTakenOver()
	{
		put("a-2", "plain");
		fleet_.onRunnersCurrent();
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), fleet_.runners().count("a"));
		CPPUNIT_ASSERT_EQUAL(std::size_t(0), fleet_.runners().count("a-2"));
		put("a", "");
		put("a-2", "plain");
		fleet_.onRunnersCurrent();
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), fleet_.runners().count("a-2"));
		for (int report = 0; report < 3; ++report)
		{
			put("a-3", "plain");
		}
		fleet_.onRunnersCurrent();
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), fleet_.runners().count("a-3"));
		CPPUNIT_ASSERT_EQUAL(std::size_t(0), fleet_.runners().count("a-2"));
		CPPUNIT_ASSERT_EQUAL(std::size_t(2), targets());
	}

	/// A target crashes and starts again at its address as another instance, while the earlier record still exists.
	/// When a late write repeats the earlier record, that one must not take the address back.
	void aDeadTargetLosesItsAddressAtOnce()
	{
		TargetLoad& load = *fleet_.loads().at("a");
		load.suspicion = kSureSuspicion;
		load.suspectedUntil = INT64_MAX;
		put("a-2", "plain");
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), fleet_.runners().count("a-2"));
		CPPUNIT_ASSERT_EQUAL(std::size_t(0), fleet_.runners().count("a"));
		put("a", "plain");
		CPPUNIT_ASSERT_EQUAL(std::size_t(0), fleet_.runners().count("a"));
	}

	/// Load and suspicions of the earlier incarnation do not carry over to the later one. Holders of the earlier load
	/// can see that its incarnation has ended.
	void aRestartStartsWithANewLoad()
	{
		put("a", "plain 100");
		const std::shared_ptr<TargetLoad> earlier = fleet_.loads().at("a");
		earlier->requests = 3;
		earlier->remoteSuspicion = kSureSuspicion;
		earlier->avoidedUntil = INT64_MAX;
		put("a", "plain 200");
		fleet_.onRunnersCurrent();
		const std::shared_ptr<TargetLoad> later = fleet_.loads().at("a");
		CPPUNIT_ASSERT(earlier->ended);
		CPPUNIT_ASSERT(!later->ended);
		CPPUNIT_ASSERT_EQUAL(0U, later->requests.load());
		CPPUNIT_ASSERT(!later->isDead(clock_.now()));
		CPPUNIT_ASSERT_EQUAL(int64_t(0), later->avoidedUntil.load());
		CPPUNIT_ASSERT(later == publishedLoad("a"));
		CPPUNIT_ASSERT_EQUAL(clock_.now().micros, fleet_.fleetChangedAt().micros);
		CPPUNIT_ASSERT_EQUAL(std::size_t(2), targets());
	}

	/// The order of the registry's records decides, not the target's clock, which may be set back.
	void anEarlierStartTimeInALaterRecordIsARestart()
	{
		put("a", "plain 200");
		const std::shared_ptr<TargetLoad> earlier = fleet_.loads().at("a");
		put("a", "plain 100");
		CPPUNIT_ASSERT(earlier->ended);
		CPPUNIT_ASSERT_EQUAL(int64_t(100), fleet_.runners().at("a").startTime.unixMillis);
	}

	/// A record of another writer without a start time may lie between two of the target's own.
	void aRecordWithoutAStartTimeIsNoRestart()
	{
		const std::shared_ptr<TargetLoad> load = fleet_.loads().at("a");
		put("a", "plain 100");
		put("a", "plain");
		put("a", "plain 100");
		CPPUNIT_ASSERT(!load->ended);
		CPPUNIT_ASSERT(load == fleet_.loads().at("a"));
		put("a", "plain 101");
		CPPUNIT_ASSERT(load->ended);
	}

	void recordsFromAnOutdatedCacheAreIgnored()
	{
		put("a", "plain 200", 9);
		const std::shared_ptr<TargetLoad> load = fleet_.loads().at("a");
		put("a", "plain 100", 8);
		CPPUNIT_ASSERT(!load->ended);
		CPPUNIT_ASSERT_EQUAL(int64_t(200), fleet_.runners().at("a").startTime.unixMillis);
		put("a", "plain 100", 10);
		CPPUNIT_ASSERT(load->ended);
	}

	/// A target crashes and its record lapses. The store then carries out an earlier write late, so that the record
	/// exists again for some seconds. The target must keep its load with the layers that its successor at the address
	/// refused.
	void aReappearingTargetKeepsItsLoad()
	{
		put("a", "plain 100");
		const std::shared_ptr<TargetLoad> load = fleet_.loads().at("a");
		put("a", "");
		put("a", "plain 100");
		CPPUNIT_ASSERT(load == fleet_.loads().at("a"));
		put("a", "");
		put("a", "plain 200");
		CPPUNIT_ASSERT(load != fleet_.loads().at("a"));
		CPPUNIT_ASSERT(load->ended);
	}

	/// The store may take a record after one that its target wrote later, and calls to the leaving target were lost.
	void aLateRecordReturnsNoLeavingTargetToUse()
	{
		put("a", "plain 0 3", 1);
		put("a", "!plain 0 7", 2);
		put("a", "plain 0 4", 3);
		fleet_.onRunnersCurrent();
		CPPUNIT_ASSERT(fleet_.runners().at("a").draining);
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), targets());
		put("a", "plain 0 8", 4);
		fleet_.onRunnersCurrent();
		CPPUNIT_ASSERT_EQUAL(std::size_t(2), targets());
	}

	/// As above, after the target's record was removed.
	void aLateRecordReturnsNoRemovedTargetToUse()
	{
		put("a", "!plain 0 7", 1);
		put("a", "", 2);
		put("a", "plain 0 4", 3);
		fleet_.onRunnersCurrent();
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), targets());
		put("a", "plain 0 8", 4); // it lives: its record had lapsed
		fleet_.onRunnersCurrent();
		CPPUNIT_ASSERT_EQUAL(std::size_t(2), targets());
	}

	/// A record that the earlier start wrote and the store takes late was taken for one more restart.
	void aLateRecordOfAnEarlierStartIsNoRestart()
	{
		put("a", "plain 100 6", 1);
		put("a", "plain 200 1", 2);
		const std::shared_ptr<TargetLoad> load = fleet_.loads().at("a");
		put("a", "plain 100 5", 3);
		CPPUNIT_ASSERT(!load->ended);
		CPPUNIT_ASSERT_EQUAL(int64_t(200), fleet_.runners().at("a").startTime.unixMillis);
	}

	/// Its smaller sequence is no sign of a late record.
	void aRestartedTargetCountsAnew()
	{
		put("a", "!plain 100 600", 1);
		put("a", "plain 200 1", 2);
		fleet_.onRunnersCurrent();
		CPPUNIT_ASSERT_EQUAL(std::size_t(2), targets());
		put("b", "!plain 0 600", 3);
		clock_.advance(RecordOrder::kPendingWriteLimit.millis());
		put("b", "plain 0 1", 4); // it tells no start time
		fleet_.onRunnersCurrent();
		CPPUNIT_ASSERT_EQUAL(std::size_t(2), targets());
	}

private:
	/// @returns the addresses of the published peers.
	std::vector<std::string> peers() const
	{
		std::vector<std::string> addresses;
		const RcuCell<FleetView>::Reader view(cell_.view);
		for (const FleetTarget& peer : view->peers->targets)
		{
			addresses.push_back(peer.record.address);
			CPPUNIT_ASSERT_EQUAL(kHomeHall, peer.hall); // none is preferred
		}
		return addresses;
	}

	void placeNode(const char* _name, const char* _address, const char* _hall, double _share,
	               const char* _handoverAddress = "")
	{
		wire::NodePlace place;
		place.set_address(_address);
		place.set_hall(_hall);
		place.set_cpu_share(_share);
		place.set_handover_address(_handoverAddress);
		fleet_.onNodeRecord(KeyedRecord{_name, place.SerializeAsString(), false, Offset{0}});
	}

	void put(const char* _instance, const char* _text, uint64_t _offset = 0)
	{
		fleet_.onRunnerRecord(KeyedRecord{_instance, _text, '\0' == *_text, Offset{_offset}});
	}

	/// @returns the number of nodes in the published view.
	uint32_t publishedNodes() const
	{
		const RcuCell<FleetView>::Reader view(cell_.view);
		return view->nodes;
	}

	/// @returns the load of a target in the published view.
	std::shared_ptr<TargetLoad> publishedLoad(const std::string& _instance) const
	{
		const RcuCell<FleetView>::Reader view(cell_.view);
		for (const FleetTarget& target : view->services.at("plain")->targets)
		{
			if (_instance == target.record.instance.text)
			{
				return target.load;
			}
		}
		return nullptr;
	}

	void state(const char* _version)
	{
		fleet_.onOperatorRecord(KeyedRecord{"config", _version, false, Offset{0}});
	}

	std::size_t targets() const
	{
		const RcuCell<FleetView>::Reader view(cell_.view);
		return view->services.at("plain")->targets.size();
	}

	std::size_t services() const
	{
		const RcuCell<FleetView>::Reader view(cell_.view);
		return view->services.size();
	}

	SimpleDocuments documents_;
	ManualClock clock_;
	FleetCell cell_;
	FleetController fleet_{documents_, cell_, clock_, "h1"};
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetControllerTest);

} // namespace sedgecart

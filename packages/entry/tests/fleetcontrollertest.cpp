// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "../src/fleetcontroller_p.h"

#include <wire/sedgecart.pb.h>

#include <cppunit/extensions/HelperMacros.h>

#include <limits>

namespace sedgecart
{

namespace
{

/// Documents of one word: a target's record is its service, "!" before it says that it drains, "?" is no record. A
/// key's address is the part before its dash.
class PlainDocuments : public DocumentsI
{
public:
	bool isDesiredState(const std::string& _key) const override
	{
		return "config" == _key;
	}

	bool readDesiredState(const std::string& _text, DesiredState& _state) const override
	{
		_state.version = StateVersion{std::stoull(_text)};
		ServiceSpec service;
		service.name = "plain";
		_state.services.push_back(service);
		return true;
	}

	RecordFault::Enum readRunner(const std::string& _key, const std::string& _text,
	                             RunnerRecord& _record) const override
	{
		_record.instance = InstanceId{_key};
		_record.address = _key.substr(0, _key.find('-'));
		if ('?' == _text.front())
		{
			return RecordFault::WrongType;
		}
		_record.draining = '!' == _text.front();
		_record.service = _record.draining ? _text.substr(1) : _text;
		return RecordFault::None;
	}
};

class StillClock : public ClockI
{
public:
	Time now() const override
	{
		return Time{1000000};
	}
};

} // namespace

class FleetControllerTest : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(FleetControllerTest);
	CPPUNIT_TEST(targetsComeAndGo);
	CPPUNIT_TEST(drainingTargetsGetNothing);
	CPPUNIT_TEST(recordsThatLapsedMayComeBack);
	CPPUNIT_TEST(versionsOnlyRise);
	CPPUNIT_TEST(aNodeThatNamesNoPlaceIsNone);
	CPPUNIT_TEST(aBrokenEntryNamesNoTarget);
	CPPUNIT_TEST(aBrokenEntryIsNoLapsedOne);
	CPPUNIT_TEST(anUnknownServiceMayBeNamedLater);
	CPPUNIT_TEST(anotherTargetsAddressIsNotTaken);
	CPPUNIT_TEST_SUITE_END();

public:
	void setUp() override
	{
		put("a", "plain");
		put("b", "plain");
		state("1");
		fleet_.onRunnersCurrent();
	}

	void targetsComeAndGo()
	{
		CPPUNIT_ASSERT_EQUAL(std::size_t(2), targets());
		put("a", "");
		CPPUNIT_ASSERT(!fleet_.onRunnersCurrent());
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), targets());
	}

	void drainingTargetsGetNothing()
	{
		put("a", "!plain");
		fleet_.onRunnersCurrent();
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), targets());
	}

	/// Targets whose records went while the store was away are used on for the grace; who is not back then is gone. One
	/// that drained is gone at once.
	void recordsThatLapsedMayComeBack()
	{
		put("c", "!plain");
		fleet_.onRunnersCurrent();
		fleet_.onRunnersOut();
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

	void versionsOnlyRise()
	{
		state("5");
		state("3");
		CPPUNIT_ASSERT(StateVersion{5} == fleet_.routes()->state().version);
	}

	/// Nodes connect to the address of a record and sort by its share of processor: neither may be odd. A record that
	/// cannot be read leaves the place that is known, since its node may be of another version.
	void aNodeThatNamesNoPlaceIsNone()
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

	/// It names no target to use, though it did before; the others hold, and its next sound entry brings it back.
	void aBrokenEntryNamesNoTarget()
	{
		const std::shared_ptr<TargetLoad> load = fleet_.loads().at("a");
		put("a", "?");
		CPPUNIT_ASSERT_EQUAL(std::size_t(2), targets()); // until all that was read is taken
		fleet_.onRunnersCurrent();
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), targets());
		CPPUNIT_ASSERT_EQUAL(std::size_t(0), fleet_.runners().count("a"));
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), fleet_.passedOver().count());
		put("a", "plain");
		fleet_.onRunnersCurrent();
		CPPUNIT_ASSERT_EQUAL(std::size_t(2), targets());
		CPPUNIT_ASSERT_EQUAL(std::size_t(0), fleet_.passedOver().count());
		CPPUNIT_ASSERT(load == fleet_.loads().at("a")); // what is under way there still counts
		put("a", "?");
		put("a", "");
		CPPUNIT_ASSERT_EQUAL(std::size_t(0), fleet_.loads().count("a"));
		put("c", "?");
		put("c", "");
		CPPUNIT_ASSERT_EQUAL(std::size_t(0), fleet_.passedOver().count());
	}

	/// A record that lapsed while the store was away is waited for. One that came back broken is there, and names none.
	void aBrokenEntryIsNoLapsedOne()
	{
		fleet_.onRunnersOut();
		put("a", "");
		put("a", "?");
		CPPUNIT_ASSERT(!fleet_.onRunnersCurrent());
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), targets());
	}

	void anUnknownServiceMayBeNamedLater()
	{
		put("c", "later");
		fleet_.onRunnersCurrent();
		CPPUNIT_ASSERT_EQUAL(std::size_t(2), targets());
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), fleet_.passedOver().count());
		CPPUNIT_ASSERT(std::string::npos != fleet_.passedOver().text().find("unknown_service"));
		put("c", "plain");
		fleet_.onRunnersCurrent();
		CPPUNIT_ASSERT_EQUAL(std::size_t(3), targets());
		CPPUNIT_ASSERT_EQUAL(std::size_t(0), fleet_.passedOver().count());
	}

	/// An entry that tells the address of a target in use takes nothing from it. When that one's entry goes, or it is
	/// silent while the other goes on, the address is the other's.
	void anotherTargetsAddressIsNotTaken()
	{
		put("a-2", "plain");
		fleet_.onRunnersCurrent();
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), fleet_.runners().count("a"));
		CPPUNIT_ASSERT_EQUAL(std::size_t(0), fleet_.runners().count("a-2"));
		put("a", "");
		put("a-2", "plain");
		fleet_.onRunnersCurrent();
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), fleet_.runners().count("a-2"));
		for (int beat = 0; beat < 3; ++beat)
		{
			put("a-3", "plain");
		}
		fleet_.onRunnersCurrent();
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), fleet_.runners().count("a-3"));
		CPPUNIT_ASSERT_EQUAL(std::size_t(0), fleet_.runners().count("a-2"));
		CPPUNIT_ASSERT_EQUAL(std::size_t(2), targets());
	}

private:
	void placeNode(const char* _name, const char* _address, const char* _hall, double _share)
	{
		wire::NodePlace place;
		place.set_address(_address);
		place.set_hall(_hall);
		place.set_cpu_share(_share);
		fleet_.onNodeRecord(KeyedRecord{_name, place.SerializeAsString(), false, Offset{0}});
	}

	void put(const char* _instance, const char* _text)
	{
		fleet_.onRunnerRecord(KeyedRecord{_instance, _text, '\0' == *_text, Offset{0}});
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

	PlainDocuments documents_;
	StillClock clock_;
	FleetCell cell_;
	FleetController fleet_{documents_, cell_, clock_, "h1"};
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetControllerTest);

} // namespace sedgecart

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "layoutfakes.h"

#include <fleet/fleetcontroller.h>
#include <layout/layoutcontroller.h>
#include <layout/layoutrecord.h>
#include <layout/orderdispatcher.h>
#include <settings/entrysettings.h>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <sstream>
#include <string>
#include <vector>

namespace sedgecart
{

namespace
{

/// A model service whose targets all have the same card.
struct TestService
{
	std::string name;
	uint32_t layers = 0;
	double layerMb = 0;
	double cardMb = 0;
	uint32_t targets = 0;
};

/// Parses the documents of several model services: a target's record is "service begin end".
class ServicesDocuments : public DocumentParserI
{
public:
	bool isDesiredState(const std::string&) const override
	{
		return true;
	}

	bool parseDesiredState(const std::string& _text, DesiredState& _state) const override
	{
		_state.version = StateVersion{std::stoull(_text)};
		for (const TestService& service : services)
		{
			ServiceSpec spec;
			spec.name = service.name;
			spec.hasEngine = true;
			spec.engine.layers = service.layers;
			spec.engine.layerMb = service.layerMb;
			spec.engine.kvBytesPerToken = 20000;
			spec.engine.capacityTokens = 100000;
			spec.engine.acceleratorKinds = {AcceleratorKind{"card", service.cardMb, 1, 1}};
			_state.services.push_back(spec);
		}
		return true;
	}

	RecordFault::Enum parseRunner(const std::string& _key, const std::string& _text,
	                              RunnerRecord& _record) const override
	{
		std::istringstream words(_text);
		_record.instance = InstanceId{_key};
		_record.address = _key;
		_record.accelerator = "card";
		_record.hall = "hall";
		words >> _record.service >> _record.layers.begin >> _record.layers.end;
		return RecordFault::None;
	}

	std::vector<TestService> services;
};

/// One node and targets of several services that carry out each order at once.
class ServicesWorld
{
public:
	explicit ServicesWorld(std::vector<TestService> _services)
	{
		add(std::move(_services));
		controller_.onCurrent(Offset{end_});
	}

	/// Puts a desired state with more services, and their targets.
	void add(std::vector<TestService> _services)
	{
		documents_.services.insert(documents_.services.end(), _services.begin(), _services.end());
		fleet_.onOperatorRecord(KeyedRecord{"config", std::to_string(++version_), false, Offset{version_}});
		for (const TestService& service : _services)
		{
			for (uint32_t target = 0; target < service.targets; ++target)
			{
				put(service.name + '/' + std::to_string(target), LayerSpan{});
			}
		}
		fleet_.onRunnersCurrent();
	}

	/// Evaluates the layout until nothing changes any more.
	void settle()
	{
		constexpr int kMostRounds = 40;
		for (int round = 0; round < kMostRounds; ++round)
		{
			clock_.at = clock_.at + Duration::fromMillis(2000);
			fleet_.onOperatorCurrent(clock_.now());
			const std::size_t before = log_.appended.size();
			controller_.start();
			if (before < log_.appended.size())
			{
				publish();
			}
		}
	}

	/// @returns orders so far to targets of a service.
	std::size_t ordersTo(const std::string& _service) const
	{
		return static_cast<std::size_t>(std::count_if(orders_.ordered.begin(), orders_.ordered.end(),
		                                              [&_service](const std::string& _target)
		                                              {
			                                              return 0 == _target.rfind(_service + '/', 0);
		                                              }));
	}

	/// @returns orders so far that exceed the memory of their target.
	std::size_t ordersBeyondMemory() const
	{
		std::size_t beyond = 0;
		for (std::size_t order = 0; order < orders_.ordered.size(); ++order)
		{
			const TestService& service = serviceOf(orders_.ordered[order]);
			beyond += service.cardMb < orders_.layers[order].size() * service.layerMb ? 1 : 0;
		}
		return beyond;
	}

	/// @returns true if the targets of a service hold all of its layers.
	bool isWhole(const TestService& _service) const
	{
		std::vector<bool> held(_service.layers, false);
		for (const auto& row : fleet_.runners())
		{
			const LayerSpan layers = row.second.layers;
			for (uint32_t layer = layers.begin; _service.name == row.second.service && layer < layers.end; ++layer)
			{
				held[layer] = true;
			}
		}
		return held.end() == std::find(held.begin(), held.end(), false);
	}

	/// Takes a record that orders a target to hold layers, as its author.
	void order(const std::string& _target, LayerSpan _layers)
	{
		OrderDispatcher dispatcher(orders_, clock_, fleet_, settings_.mechanisms);
		LayoutRecord record;
		record.holds.push_back(LayoutHoldRecord{InstanceId{_target}, StartTime{}, _layers});
		dispatcher.apply(record, Offset{end_}, OrderRole::Send);
	}

	const TestService& serviceOf(const std::string& _target) const
	{
		return *std::find_if(documents_.services.begin(), documents_.services.end(),
		                     [&_target](const TestService& _service)
		                     {
			                     return 0 == _target.rfind(_service.name + '/', 0);
		                     });
	}

private:
	/// Stores the change that the node appended, and carries out the orders that it then sends.
	void publish()
	{
		const std::size_t sent = orders_.ordered.size();
		log_.calls.back()(KeyedAppend{StoreState::Done, Offset{end_}, Offset{end_ + 1}});
		controller_.onRecord(KeyedRecord{"newest", log_.appended.back(), false, Offset{end_}});
		controller_.onCurrent(Offset{++end_});
		for (std::size_t order = sent; order < orders_.ordered.size(); ++order)
		{
			orders_.calls[order](LayoutOrderState::Held);
			put(orders_.ordered[order], orders_.layers[order]);
		}
		fleet_.onRunnersCurrent();
	}

	void put(const std::string& _target, LayerSpan _held)
	{
		const std::string text =
		    serviceOf(_target).name + ' ' + std::to_string(_held.begin) + ' ' + std::to_string(_held.end);
		fleet_.onRunnerRecord(KeyedRecord{_target, text, false, Offset{++records_}});
	}

	ServicesDocuments documents_;
	ManualClock clock_;
	FleetCell cell_;
	FleetController fleet_{documents_, cell_, clock_, "hall"};
	boost::asio::io_context loop_;
	RecordingLog log_;
	RecordingOrders orders_;
	EntrySettings settings_;
	LayoutController controller_{loop_, log_, orders_, clock_, fleet_, settings_};
	uint64_t version_ = 0;
	uint64_t records_ = 0;
	uint64_t end_ = 1;
};

/// @returns a service whose targets can hold its model.
TestService anyService(uint32_t _number)
{
	TestService service;
	service.name = "s" + std::to_string(_number);
	service.layers = *rc::gen::inRange(4U, 81U);
	service.layerMb = *rc::gen::inRange(100, 2001);
	service.targets = *rc::gen::inRange(2U, 7U);
	const uint32_t share = service.layers / service.targets + 1;
	service.cardMb = service.layerMb * (share + 1) * *rc::gen::element(1.2, 1.6, 3.0) + 4000;
	return service;
}

} // namespace

/// The layout was planned over the targets of all services by the model of one of them: targets of a second service
/// were ordered to hold more than twice their memory, and failed.
class ServicesLayoutTest : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(ServicesLayoutTest);
	CPPUNIT_TEST(aSecondServiceIsOrderedWithinItsMemory);
	CPPUNIT_TEST(noOrderExceedsMemoryWhateverTheServices);
	CPPUNIT_TEST(anOrderBeyondMemoryIsNotSent);
	CPPUNIT_TEST_SUITE_END();

public:
	void aSecondServiceIsOrderedWithinItsMemory()
	{
		const TestService small{"small", 80, 350, 36000, 6};
		const TestService large{"large", 80, 1750, 36000, 6};
		ServicesWorld world({small});
		world.settle();
		CPPUNIT_ASSERT(world.isWhole(small));
		const std::size_t before = world.ordersTo("small");
		world.add({large});
		world.settle();
		CPPUNIT_ASSERT(0 < world.ordersTo("large"));
		CPPUNIT_ASSERT_EQUAL(std::size_t(0), world.ordersBeyondMemory());
		CPPUNIT_ASSERT(world.isWhole(large));
		CPPUNIT_ASSERT_EQUAL(before, world.ordersTo("small"));
	}

	void noOrderExceedsMemoryWhateverTheServices()
	{
		CPPUNIT_ASSERT(rc::check("no order exceeds memory",
		                         []
		                         {
			                         std::vector<TestService> services;
			                         const auto count = *rc::gen::inRange(1U, 5U);
			                         for (uint32_t number = 0; number < count; ++number)
			                         {
				                         services.push_back(anyService(number));
			                         }
			                         ServicesWorld world({services.front()});
			                         world.settle();
			                         const std::size_t before = world.ordersTo("s0");
			                         world.add({services.begin() + 1, services.end()});
			                         world.settle();
			                         RC_ASSERT(0U == world.ordersBeyondMemory());
			                         RC_ASSERT(before == world.ordersTo("s0"));
			                         for (const TestService& service : services)
			                         {
				                         RC_ASSERT(world.isWhole(service));
			                         }
		                         }));
	}

	/// Whatever planned it: a node of another version may have written the record.
	void anOrderBeyondMemoryIsNotSent()
	{
		ServicesWorld world({TestService{"s", 80, 1750, 36000, 6}});
		world.settle();
		const std::size_t before = world.ordersTo("s");
		world.order("s/0", LayerSpan{0, 21});
		CPPUNIT_ASSERT_EQUAL(before, world.ordersTo("s"));
		world.order("s/0", LayerSpan{0, 20});
		CPPUNIT_ASSERT_EQUAL(before + 1, world.ordersTo("s"));
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServicesLayoutTest);

} // namespace sedgecart

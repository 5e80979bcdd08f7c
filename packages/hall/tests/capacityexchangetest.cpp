// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <base/clock.h>
#include <fleet/fleetcontroller.h>
#include <hall/capacityexchange.h>
#include <settings/entrysettings.h>
#include <wire/sedgecart.pb.h>

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <sstream>
#include <string>

namespace sedgecart
{

namespace
{

constexpr uint64_t kCapacity = 9000; //!< Tokens at each layer of a hall of two targets: nine tenths of their memory.

class SetClock : public ClockI
{
public:
	Time now() const override
	{
		return at;
	}

	Time at{60000000};
};

/// A desired state whose text is the number of urgencies, and targets "HALL BEGIN END" of a model of 8 layers.
class EngineDocuments : public DocumentParserI
{
public:
	bool isDesiredState(const std::string&) const override
	{
		return true;
	}

	bool parseDesiredState(const std::string& _text, DesiredState& _state) const override
	{
		ServiceSpec service;
		service.name = "engine";
		service.hasEngine = true;
		service.engine.layers = 8;
		service.engine.kvBytesPerToken = 8e6; // one megabyte per token and layer
		service.engine.usualPromptTokens = 100;
		service.engine.acceleratorKinds = {AcceleratorKind{"card", 40000, 1, 1}};
		_state.services.push_back(service);
		for (uint32_t urgency = 0; urgency < std::stoul(_text); ++urgency)
		{
			HostRoute route;
			route.kind = RequestKind::Stream;
			route.urgency = urgency;
			route.services.push_back(WeightedService{"engine", 1});
			_state.routes.push_back(route);
		}
		return true;
	}

	RecordFault::Enum parseRunner(const std::string& _key, const std::string& _text,
	                              RunnerRecord& _record) const override
	{
		std::istringstream words(_text);
		_record.instance = InstanceId{_key};
		_record.address = "10.0.0.1:" + _key;
		_record.service = "engine";
		_record.accelerator = "card";
		words >> _record.hall >> _record.layers.begin >> _record.layers.end;
		return RecordFault::None;
	}
};

/// One entry node without its link.
class ExchangeNode
{
public:
	ExchangeNode(const std::string& _name, const SetClock& _clock, const char* _urgencies,
	             const std::string& _disabled = "none")
	    : clock_(_clock),
	      fleet_(documents_, cell_, _clock, "h1")
	{
		EntrySettings settings;
		std::string unknown;
		settings.name = _name;
		settings.hall = "h1";
		settings.mechanisms.disable(_disabled, unknown);
		fleet_.onOperatorRecord(KeyedRecord{"config", _urgencies, false, Offset{1}});
		fleet_.onOperatorCurrent(_clock.now());
		fleet_.onRunnerRecord(KeyedRecord{"1", "h1 0 4", false, Offset{1}});
		fleet_.onRunnerRecord(KeyedRecord{"2", "h1 4 8", false, Offset{2}});
		fleet_.onRunnerRecord(KeyedRecord{"3", "h2 0 8", false, Offset{3}});
		fleet_.onRunnersCurrent();
		exchange_ = std::make_unique<CapacityExchange>(loop_, settings, clock_, fleet_,
		                                               [this]
		                                               {
			                                               ++earlyReports_;
		                                               });
	}

	/// A step of the hub.
	wire::HallSum stepAsHub(const LoadTable& _loads)
	{
		exchange_->beginStep("hub");
		exchange_->updateHall(_loads, _loads, 1);
		wire::HallSum sum;
		exchange_->hub().fillOffers(sum);
		return sum;
	}

	wire::HallReport report()
	{
		exchange_->beginStep("hub");
		wire::HallReport report;
		report.set_node("node");
		report.set_number(++number_);
		exchange_->fillReport(report);
		return report;
	}

	wire::HallAnswer answer(const wire::HallReport& _report)
	{
		wire::HallAnswer answer;
		answer.set_number(_report.number());
		exchange_->hub().answer(_report, true, answer);
		return answer;
	}

	/// Exchanges a report with a hub.
	wire::HallAnswer reportTo(ExchangeNode& _hub)
	{
		wire::HallAnswer answer = _hub.answer(report());
		exchange_->applyAnswer(answer);
		return answer;
	}

	/// The hub is of an earlier version.
	void reportToEarlierVersion()
	{
		wire::HallAnswer answer;
		answer.set_number(report().number());
		exchange_->applyAnswer(answer);
	}

	LeaseAccount& lease()
	{
		return fleet_.accounts().at("engine")->lease;
	}

	/// @returns how often the node asked for an early report.
	int earlyReports()
	{
		loop_.restart();
		loop_.poll();
		return earlyReports_;
	}

private:
	EngineDocuments documents_;
	const SetClock& clock_;
	FleetCell cell_;
	FleetController fleet_;
	boost::asio::io_context loop_;
	std::unique_ptr<CapacityExchange> exchange_;
	uint64_t number_ = 0;
	int earlyReports_ = 0;
};

LoadTable loadOf(const char* _instance, uint64_t _tokenLayers)
{
	LoadAmount amount;
	amount.tokenLayers = _tokenLayers;
	return LoadTable{{TargetIncarnation{InstanceId{_instance}, StartTime{}}, amount}};
}

} // namespace

/// A hub and a node of one hall, connected by messages without a link.
class CapacityExchangeTest : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(CapacityExchangeTest);
	CPPUNIT_TEST(leasesExceedTheFreeCapacity);
	CPPUNIT_TEST(hubOfAnEarlierVersionStopsRequests);
	CPPUNIT_TEST(messagesChangeWithoutPriorities);
	CPPUNIT_TEST(implausibleDemandGetsALease);
	CPPUNIT_TEST(aNewHubLendsAtOnce);
	CPPUNIT_TEST(aBurstWaitsForTheNextStep);
	CPPUNIT_TEST_SUITE_END();

public:
	/// The second target is half full and limits the hall; half of what is free is offered to the other hall.
	void leasesExceedTheFreeCapacity()
	{
		ExchangeNode hub("hub", clock_, "2");
		ExchangeNode node("node", clock_, "2");
		const LoadTable loads = loadOf("2", 4 * kCapacity / 2);
		const wire::HallSum sum = exchange(hub, node, loads);
		CPPUNIT_ASSERT_EQUAL(1, sum.offers_size());
		const uint64_t offered = sum.offers(0).tokens();
		CPPUNIT_ASSERT(0 < offered);
		const uint64_t lent = take(hub.lease()) + take(node.lease());
		CPPUNIT_ASSERT_LESSEQUAL(kCapacity / 2, offered + lent);
		CPPUNIT_ASSERT_GREATEREQUAL(kCapacity * 2 / 5, offered + lent);
	}

	void hubOfAnEarlierVersionStopsRequests()
	{
		ExchangeNode hub("hub", clock_, "2");
		ExchangeNode node("node", clock_, "2");
		exchange(hub, node, LoadTable{});
		CPPUNIT_ASSERT(node.lease().isActive(clock_.at));
		CPPUNIT_ASSERT(!node.lease().tryTake(10 * kCapacity, 0, clock_.at));
		node.reportToEarlierVersion();
		CPPUNIT_ASSERT(!node.lease().isActive(clock_.at));
		CPPUNIT_ASSERT(node.lease().tryTake(10 * kCapacity, 0, clock_.at));
		exchange(hub, node, LoadTable{});
		ExchangeNode without("hub", clock_, "2", "capacity-leases");
		exchange(without, node, LoadTable{});
		CPPUNIT_ASSERT(!node.lease().isActive(clock_.at));
	}

	void messagesChangeWithoutPriorities()
	{
		CPPUNIT_ASSERT_EQUAL(0, ExchangeNode("node", clock_, "1").report().demands_size());
		CPPUNIT_ASSERT_EQUAL(1, ExchangeNode("node", clock_, "2", "capacity-leases").report().demands_size());
		ExchangeNode none("node", clock_, "2", "capacity-leases,capacity-forecast");
		CPPUNIT_ASSERT_EQUAL(0, none.report().demands_size());
	}

	void implausibleDemandGetsALease()
	{
		ExchangeNode hub("hub", clock_, "2");
		ExchangeNode node("node", clock_, "2");
		exchange(hub, node, LoadTable{});
		wire::HallReport report = node.report();
		report.mutable_demands(0)->set_lease_limit(0);
		const wire::HallAnswer answer = hub.answer(report);
		CPPUNIT_ASSERT_EQUAL(uint64_t(0), answer.capacities(0).lease_limit());
		CPPUNIT_ASSERT(0 < answer.capacities(0).lease_term_ms());
	}

	void aNewHubLendsAtOnce()
	{
		ExchangeNode hub("hub", clock_, "2");
		ExchangeNode node("node", clock_, "2");
		hub.stepAsHub(LoadTable{});
		CPPUNIT_ASSERT_EQUAL(uint64_t(0), node.reportTo(hub).capacities(0).lease_limit());
		CPPUNIT_ASSERT(!node.lease().isActive(clock_.at));
	}

	/// It asks for an early report, but only once until the next answer.
	void aBurstWaitsForTheNextStep()
	{
		ExchangeNode hub("hub", clock_, "2");
		ExchangeNode node("node", clock_, "2");
		exchange(hub, node, LoadTable{});
		CPPUNIT_ASSERT_EQUAL(0, node.earlyReports());
		take(node.lease());
		take(node.lease());
		CPPUNIT_ASSERT_EQUAL(1, node.earlyReports());
	}

private:
	/// Steps and reports until the hub has learned the loads and lends.
	/// @returns the last sum.
	wire::HallSum exchange(ExchangeNode& _hub, ExchangeNode& _node, const LoadTable& _loads)
	{
		wire::HallSum sum;
		for (int step = 0; step < 8; ++step)
		{
			clock_.at = clock_.at + Duration::fromMillis(150);
			sum = _hub.stepAsHub(_loads);
			_node.reportTo(_hub);
		}
		return sum;
	}

	/// @returns tokens that could be taken.
	uint64_t take(LeaseAccount& _lease) const
	{
		constexpr uint64_t kTokens = 10;
		uint64_t taken = 0;
		while (taken < 100 * kCapacity && _lease.tryTake(kTokens, 0, clock_.at))
		{
			taken += kTokens;
		}
		return taken;
	}

	SetClock clock_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CapacityExchangeTest);

} // namespace sedgecart

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <hall/capacityexchange.h>

#include "capacityrows_p.h"

#include <core/layoutplan.h>
#include <fleet/fleetcontroller.h>
#include <fleet/targetrecordcheck.h>
#include <logging/logging.h>
#include <metrics/metrics.h>
#include <settings/entrysettings.h>
#include <wire/sedgecart.pb.h>

#include <boost/asio/post.hpp>

#include <algorithm>

namespace sedgecart
{

namespace
{

/// Reports that are remembered until their answers arrive: those of a term, which are at least 15 ms apart.
constexpr std::size_t kMaxSent = 64;

/// Longest interval between reports of a node with a lease: half of its term, so that one lost report does not end it.
/// A node of a large hall without requests reports less often otherwise.
constexpr Duration kMaxReportPause = Duration::fromMillis(300);

/// @returns false if a target takes no new requests.
bool takesRequests(const RunnerRecord& _record, const TargetLoad& _load, Time _now)
{
	const bool isDraining = _record.draining || _load.draining.load(std::memory_order_relaxed);
	const bool isOutdated = _load.ended.load(std::memory_order_relaxed) || _load.lacksLayers(_record.layers, _now);
	const bool backsOff = _now.micros < _load.backoffUntil.load(std::memory_order_relaxed);
	return !isDraining && !isOutdated && !backsOff && !_load.isDead(_now);
}

} // namespace

CapacityExchange::CapacityExchange(boost::asio::io_context& _loop, const EntrySettings& _settings, const ClockI& _clock,
                                   const FleetController& _fleet, std::function<void()> _reportSoon)
    : loop_(_loop),
      name_(_settings.name),
      hall_(_settings.hall),
      mechanisms_(_settings.mechanisms),
      clock_(_clock),
      fleet_(_fleet),
      reportSoon_(std::move(_reportSoon)),
      hub_(_settings, _clock, _fleet.skippedRecords())
{
}

CapacityExchange::~CapacityExchange()
{
	for (const auto& row : services_)
	{
		row.second.account->lease.setListener(nullptr);
	}
}

bool CapacityExchange::isEnabled() const
{
	return mechanisms_.isEnabled(Mechanism::CapacityLeases) || mechanisms_.isEnabled(Mechanism::CapacityForecast);
}

bool CapacityExchange::isHub() const
{
	return name_ == hubName_;
}

void CapacityExchange::beginStep(const std::string& _hub)
{
	if (!isEnabled())
	{
		return;
	}
	updateServices();
	if (hubName_ != _hub)
	{
		hubName_ = _hub;
		for (const auto& row : services_)
		{
			row.second.account->lease.onHubChanged();
		}
	}
	std::map<std::string, ServiceDemand> own;
	std::set<std::string> names;
	for (auto& row : services_)
	{
		names.insert(row.first);
		readDemand(row.second);
		logEvents(row.first, row.second);
		own[row.first] = row.second.demand;
	}
	hub_.setHub(isHub(), names);
	if (isHub())
	{
		hub_.beginStep(++selfAnswers_, own);
	}
}

/// Follows the accounts of the fleet, which come and go with the desired state.
void CapacityExchange::updateServices()
{
	for (auto row = services_.begin(); services_.end() != row;)
	{
		const auto found = fleet_.accounts().find(row->first);
		const bool stays = fleet_.accounts().end() != found && found->second == row->second.account;
		if (!stays)
		{
			row->second.account->lease.setListener(nullptr);
		}
		row = stays ? std::next(row) : services_.erase(row);
	}
	for (const auto& row : fleet_.accounts())
	{
		const ServiceSpec* const spec = fleet_.routes() ? fleet_.routes()->findService(row.first) : nullptr;
		const bool isKnown = 0 < services_.count(row.first);
		if (isKnown || nullptr == spec || 0 == spec->engine.layers ||
		    kMaxCapacityRows <= static_cast<int>(services_.size()))
		{
			continue;
		}
		services_[row.first].account = row.second;
		row.second->lease.setUsualTokens(
		    static_cast<uint64_t>(spec->engine.usualPromptTokens + spec->engine.usualAnswerTokens));
		row.second->lease.setListener(this);
	}
}

void CapacityExchange::readDemand(Service& _service) const
{
	const Time now = clock_.now();
	ServiceAccount& account = *_service.account;
	_service.demand = ServiceDemand{};
	_service.demand.waiting = account.waiting.get();
	account.lease.fillDemand(_service.demand, now);
	_service.demand.released = account.releases.released(now);
	_service.demand.promised = account.returns.promised(now);
}

void CapacityExchange::logEvents(const std::string& _name, Service& _service) const
{
	const LeaseEvents events = _service.account->lease.takeEvents(clock_.now());
	if (nullptr != metrics_)
	{
		metrics_->add(Counter::LeaseRefusals, events.refusals);
		metrics_->add(Counter::LeaseFloorAdmissions, events.floorAdmissions);
		metrics_->add(Counter::LeaseExpiries, events.expiries);
	}
	const bool hasExpired = events.isActive && !events.hasLease;
	if (hasExpired != _service.hasExpired)
	{
		_service.hasExpired = hasExpired;
		logEvent(LogPart::Requests, LogLevel::Info,
		         hasExpired ? "Lease has run out, the floor applies." : "Lease applies again.",
		         {{"service", _name}, {"hub", hubName_}});
	}
}

void CapacityExchange::updateHall(const LoadTable& _totals, const LoadTable& _hall, std::size_t _otherHubs)
{
	if (!isEnabled() || !isHub())
	{
		return;
	}
	std::map<std::string, HallServiceState> states;
	for (const auto& row : services_)
	{
		const ServiceSpec* const spec = fleet_.routes()->findService(row.first);
		if (nullptr != spec)
		{
			states[row.first] = stateOf(*spec, _totals, _hall);
		}
	}
	hub_.endStep(states, _otherHubs);
	answerSelf();
}

HallServiceState CapacityExchange::stateOf(const ServiceSpec& _spec, const LoadTable& _totals,
                                           const LoadTable& _hall) const
{
	const Time now = clock_.now();
	const EngineSpec& engine = _spec.engine;
	std::vector<HallTarget> targets;
	uint64_t elsewhere = 0;
	for (const auto& row : fleet_.runners())
	{
		const RunnerRecord& record = row.second;
		const auto load = fleet_.loads().find(row.first);
		const AcceleratorKind* const card = findAcceleratorKind(engine, record.accelerator);
		const bool isUsable = record.service == _spec.name && 0 < record.layers.size() && nullptr != card &&
		                      fleet_.loads().end() != load && RecordFault::None == checkTargetRecord(&_spec, record);
		if (!isUsable)
		{
			continue;
		}
		if (record.hall != hall_)
		{
			elsewhere += loadAt(_hall, record.incarnation()).tokenLayers;
		}
		else if (takesRequests(record, *load->second, now))
		{
			const LoadAmount amount = loadAt(_totals, record.incarnation());
			targets.push_back(HallTarget{
			    record.layers.begin, record.layers.end, capacityFor(engine, *card, record.layers.size()),
			    static_cast<double>(amount.tokenLayers) / record.layers.size(), record.slots, amount.requests});
		}
	}
	HallServiceState state;
	const double usual = engine.usualPromptTokens + engine.usualAnswerTokens;
	state.capacity = hallCapacity(targets, engine.layers, usual);
	state.usualTokens = static_cast<uint64_t>(usual);
	state.elsewhereTokens = elsewhere / std::max(1U, engine.layers);
	return state;
}

void CapacityExchange::answerSelf()
{
	for (auto& row : services_)
	{
		const ServiceCapacity capacity = hub_.answerSelf(row.first, selfAnswers_, row.second.demand);
		apply(row.second, capacity, selfAnswers_, clock_.now());
	}
}

bool CapacityExchange::isReportDue() const
{
	const Time now = clock_.now();
	return std::any_of(services_.begin(), services_.end(),
	                   [this, now](const std::map<std::string, Service>::value_type& _row)
	                   {
		                   const bool waits = 0 < totalTokens(_row.second.demand.waiting);
		                   const bool isOld = !(now < reportedAt_ + kMaxReportPause);
		                   return waits || (isOld && _row.second.account->lease.isActive(now));
	                   });
}

void CapacityExchange::fillReport(wire::HallReport& _report)
{
	if (services_.empty() || isHub())
	{
		return;
	}
	reportedAt_ = clock_.now();
	Sent sent;
	sent.number = _report.number();
	sent.at = reportedAt_;
	for (const auto& row : services_)
	{
		putDemand(row.first, row.second.demand, *_report.add_demands());
		sent.services.insert(row.first);
	}
	sent_.push_back(std::move(sent));
	if (kMaxSent < sent_.size())
	{
		sent_.pop_front();
	}
}

void CapacityExchange::applyAnswer(const wire::HallAnswer& _answer)
{
	const auto sent = std::find_if(sent_.begin(), sent_.end(),
	                               [&_answer](const Sent& _one)
	                               {
		                               return _answer.number() == _one.number;
	                               });
	if (sent_.end() == sent)
	{
		return;
	}
	std::map<std::string, ServiceCapacity> capacities;
	for (int index = 0; index < std::min(kMaxCapacityRows, _answer.capacities_size()); ++index)
	{
		ServiceCapacity capacity;
		const wire::ServiceCapacity& row = _answer.capacities(index);
		if (!readCapacity(row, capacity))
		{
			fleet_.skippedRecords().onTransientSkip(RecordKind::PeerMessage, _answer.node(), RecordFault::AbsurdValue);
			capacity = ServiceCapacity{};
			capacity.leaseTerm = kLeaseTerm; // grants nothing
		}
		capacities[row.service()] = capacity;
	}
	for (auto& row : services_)
	{
		if (0 < sent->services.count(row.first))
		{
			apply(row.second, capacities[row.first], _answer.number(), sent->at);
		}
	}
	sent_.erase(sent_.begin(), std::next(sent));
}

/// A hub without a row for the service, of an earlier version or with the mechanism disabled, grants no leases.
void CapacityExchange::apply(Service& _service, const ServiceCapacity& _capacity, uint64_t _number, Time _sentAt) const
{
	const bool isLease = 0 < _capacity.leaseTerm.micros && mechanisms_.isEnabled(Mechanism::CapacityLeases);
	if (isLease)
	{
		_service.account->lease.apply(_capacity, _number, _sentAt, clock_.now());
	}
	else
	{
		_service.account->lease.deactivate();
	}
	if (_capacity.hasForecast && mechanisms_.isEnabled(Mechanism::CapacityForecast))
	{
		_service.account->returns.setForecast(_capacity.forecast, _sentAt);
	}
}

/// Called by the request thread.
void CapacityExchange::onLeaseLow()
{
	boost::asio::post(loop_,
	                  [this]
	                  {
		                  onLow();
	                  });
}

/// The hub serves itself from what is not lent, without a step: a step sends messages to all other hubs.
void CapacityExchange::onLow()
{
	if (!isHub())
	{
		reportSoon_();
		return;
	}
	++selfAnswers_;
	for (auto& row : services_)
	{
		readDemand(row.second);
	}
	answerSelf();
}

} // namespace sedgecart

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <hall/capacityhub.h>

#include "capacityrows_p.h"

#include <fleet/skippedrecords.h>
#include <logging/logging.h>
#include <settings/entrysettings.h>
#include <wire/sedgecart.pb.h>

#include <algorithm>
#include <array>

namespace sedgecart
{

namespace
{

constexpr Duration kLogPause = Duration::fromMillis(1000);

/// Part of the capacity that the hall's own nodes do not need, as its divisor, that is kept for offers to other halls.
/// The rest is lent to the nodes as headroom.
constexpr uint64_t kOfferDivisor = 2;

/// Steps of the hub in a second, rounded down. What the nodes admit until the next step is needed here: counting a
/// whole second of it left a third of the capacity of two halls unused while requests waited in the third.
constexpr uint64_t kStepsPerSecond = 6;

constexpr std::array<const char*, kUrgencies> kWaitingNames = {"waiting_0", "waiting_1", "waiting_2", "waiting_3",
                                                               "waiting_4", "waiting_5", "waiting_6", "waiting_7",
                                                               "waiting_8", "waiting_9"};

uint64_t lessOrZero(uint64_t _a, uint64_t _b)
{
	return _a - std::min(_a, _b);
}

} // namespace

CapacityHub::CapacityHub(const EntrySettings& _settings, const ClockI& _clock, SkippedRecords& _skipped)
    : self_(_settings.name),
      mechanisms_(_settings.mechanisms),
      clock_(_clock),
      skipped_(_skipped)
{
}

bool CapacityHub::leases() const
{
	return mechanisms_.isEnabled(Mechanism::CapacityLeases);
}

bool CapacityHub::forecasts() const
{
	return mechanisms_.isEnabled(Mechanism::CapacityForecast);
}

void CapacityHub::setHub(bool _isHub, const std::set<std::string>& _services)
{
	const std::lock_guard<std::mutex> lock(mutex_);
	for (auto row = services_.begin(); services_.end() != row;)
	{
		row = 0 < _services.count(row->first) ? std::next(row) : services_.erase(row);
	}
	for (const std::string& name : _services)
	{
		const auto added = services_.try_emplace(name);
		if (added.second)
		{
			added.first->second.ledger.onBecameHub(clock_.now());
		}
	}
	becomeHub(_isHub);
}

void CapacityHub::becomeHub(bool _isHub)
{
	if (_isHub && !isHub_)
	{
		for (auto& row : services_)
		{
			row.second = Service{};
			row.second.ledger.onBecameHub(clock_.now());
		}
	}
	isHub_ = _isHub;
}

/// Own capacity without what other halls were offered, and what they offer.
uint64_t CapacityHub::freeTokens(const Service& _service, Time _now)
{
	const uint64_t kept = std::max(_service.kept, _service.offers.outstanding(_now));
	return lessOrZero(_service.state.capacity.free, kept) +
	       _service.offers.received(_service.state.elsewhereTokens, _now);
}

ServiceCapacity CapacityHub::grant(Service& _service, const std::string& _node, uint64_t _number,
                                   const ServiceDemand& _demand)
{
	const Time now = clock_.now();
	ServiceCapacity capacity;
	if (leases())
	{
		_service.ledger.onReport(_node, _number, _demand, now);
		capacity = _service.ledger.grant(_node, _number, freeTokens(_service, now), now);
	}
	if (forecasts())
	{
		capacity.hasForecast = true;
		_service.forecast.onReport(_node, _demand, now);
		capacity.forecast = _service.forecast.forecast(_node, _service.state.capacity.free, now);
	}
	return capacity;
}

void CapacityHub::answer(const wire::HallReport& _report, bool _isHub, wire::HallAnswer& _answer)
{
	if (!_isHub || 0 == _report.demands_size())
	{
		return;
	}
	const std::lock_guard<std::mutex> lock(mutex_);
	becomeHub(true); // the control thread may learn it later
	const int rows = std::min(kMaxCapacityRows, _report.demands_size());
	for (int index = 0; index < rows; ++index)
	{
		const wire::ServiceDemand& row = _report.demands(index);
		const auto service = services_.find(row.service());
		if (services_.end() == service)
		{
			continue; // not prioritized by the desired state that this node has
		}
		ServiceDemand demand;
		ServiceCapacity capacity;
		if (readDemand(row, demand))
		{
			capacity = grant(service->second, _report.node(), _report.number(), demand);
		}
		else
		{
			skipped_.onTransientSkip(RecordKind::PeerMessage, _report.node(), RecordFault::AbsurdValue);
			capacity.leaseTerm = leases() ? kLeaseTerm : Duration{};
		}
		putCapacity(row.service(), capacity, *_answer.add_capacities());
	}
}

ServiceCapacity CapacityHub::answerSelf(const std::string& _service, uint64_t _number, const ServiceDemand& _demand)
{
	const std::lock_guard<std::mutex> lock(mutex_);
	const auto service = services_.find(_service);
	return services_.end() == service ? ServiceCapacity{} : grant(service->second, self_, _number, _demand);
}

void CapacityHub::beginStep(uint64_t _number, const std::map<std::string, ServiceDemand>& _own)
{
	const std::lock_guard<std::mutex> lock(mutex_);
	for (auto& row : services_)
	{
		const auto own = _own.find(row.first);
		if (_own.end() != own)
		{
			row.second.ledger.onReport(self_, _number, own->second, clock_.now());
		}
		row.second.ledger.beginStep();
	}
}

void CapacityHub::endStep(const std::map<std::string, HallServiceState>& _states, std::size_t _otherHubs)
{
	const std::lock_guard<std::mutex> lock(mutex_);
	const Time now = clock_.now();
	for (auto& row : services_)
	{
		Service& service = row.second;
		const auto state = _states.find(row.first);
		service.state = _states.end() == state ? HallServiceState{} : state->second;
		service.ledger.setUsualTokens(service.state.usualTokens);
		service.ledger.endStep(now);
		makeOffer(service, _otherHubs);
		log(row.first, service);
	}
}

/// Other halls are offered half of what this hall's nodes do not need. It is not lent to them, so that what is offered
/// is not outstanding twice.
void CapacityHub::makeOffer(Service& _service, std::size_t _otherHubs) const
{
	if (!leases())
	{
		return;
	}
	const Time now = clock_.now();
	const uint64_t untilNextStep = totalTokens(_service.ledger.recent()) / kStepsPerSecond;
	const uint64_t needed = totalTokens(_service.ledger.waiting()) + untilNextStep;
	_service.kept = 0 < _otherHubs ? lessOrZero(_service.state.capacity.free, needed) / kOfferDivisor : 0;
	const uint64_t unlent = lessOrZero(_service.state.capacity.free, _service.ledger.outstanding(now));
	_service.offered = _service.offers.offer(std::min(_service.kept, unlent), _otherHubs, now);
}

void CapacityHub::fillOffers(wire::HallSum& _sum) const
{
	const std::lock_guard<std::mutex> lock(mutex_);
	for (const auto& row : services_)
	{
		if (0 < row.second.offered)
		{
			wire::CapacityOffer& offer = *_sum.add_offers();
			offer.set_service(row.first);
			offer.set_tokens(row.second.offered);
			offer.set_term_ms(static_cast<uint64_t>(kOfferTerm.millis()));
		}
	}
}

void CapacityHub::onSum(const wire::HallSum& _sum)
{
	if (0 == _sum.offers_size())
	{
		return;
	}
	const std::lock_guard<std::mutex> lock(mutex_);
	const int rows = std::min(kMaxCapacityRows, _sum.offers_size());
	for (int index = 0; index < rows && isHub_; ++index)
	{
		const wire::CapacityOffer& row = _sum.offers(index);
		const auto service = services_.find(row.service());
		OfferedCapacity offer;
		if (!readOffer(row, offer))
		{
			skipped_.onTransientSkip(RecordKind::PeerMessage, _sum.node(), RecordFault::AbsurdValue);
		}
		else if (services_.end() != service)
		{
			Service& own = service->second;
			own.offers.onOffer(_sum.node(), offer.tokens, offer.term, own.state.elsewhereTokens, clock_.now());
		}
	}
}

void CapacityHub::log(const std::string& _name, Service& _service) const
{
	const Time now = clock_.now();
	const UrgencyTokens waiting = _service.ledger.waiting();
	const uint64_t lent = _service.ledger.outstanding(now);
	if (now < _service.loggedAt + kLogPause || 0 == lent + totalTokens(waiting))
	{
		return;
	}
	_service.loggedAt = now;
	std::vector<LogField> fields = {{"service", _name},
	                                {"capacity", std::to_string(_service.state.capacity.tokens)},
	                                {"free", std::to_string(_service.state.capacity.free)},
	                                {"lent", std::to_string(lent)}};
	for (std::size_t urgency = 0; urgency < kUrgencies; ++urgency)
	{
		if (0 < waiting[urgency])
		{
			fields.push_back({kWaitingNames[urgency], std::to_string(waiting[urgency])});
		}
	}
	fields.push_back({"nodes", std::to_string(_service.ledger.nodes())});
	logEvent(LogPart::Store, LogLevel::Info, "Leases of the hall.", fields);
}

} // namespace sedgecart

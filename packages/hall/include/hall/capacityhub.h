// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_HALL_CAPACITYHUB_H_HEADER_GUARD
#define SEDGECART_HALL_CAPACITYHUB_H_HEADER_GUARD

#include <base/clock.h>
#include <forecast/capacityforecast.h>
#include <leases/capacityoffers.h>
#include <leases/hallcapacity.h>
#include <leases/leaseledger.h>
#include <settings/mechanisms.h>

#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace sedgecart
{

namespace wire
{
class HallAnswer;
class HallReport;
class HallSum;
} // namespace wire

class SkippedRecords;
struct EntrySettings;

/// What the hub computes of a prioritized service with each update of the totals.
struct HallServiceState
{
	HallCapacity capacity;
	uint64_t usualTokens = 0;     //!< Of a request; 0: not known.
	uint64_t elsewhereTokens = 0; //!< That the nodes of this hall have at targets of other halls.
};

/// Leases and forecasts of all prioritized services, as the hub of a hall. The control thread updates the capacity, the
/// link's thread answers reports. Nothing is granted for the first 600 ms as the hub. Any thread.
class CapacityHub
{
public:
	/// @param _skipped where implausible rows of other nodes are counted.
	CapacityHub(const EntrySettings& _settings, const ClockI& _clock, SkippedRecords& _skipped);

	/// Sets whether this node is the hub of its hall.
	/// @param _services that are prioritized. All others are forgotten.
	void setHub(bool _isHub, const std::set<std::string>& _services);

	/// Answers the demands of a report. The loads of the same report must already be recorded.
	/// @param _isHub the answer tells that this node is the hub.
	void answer(const wire::HallReport& _report, bool _isHub, wire::HallAnswer& _answer);

	/// Answers the demand of this node, without a message.
	ServiceCapacity answerSelf(const std::string& _service, uint64_t _number, const ServiceDemand& _demand);

	/// Records this node's own demands. Must be called before the loads of this node are read.
	/// @param _number counts its demands, from 1.
	void beginStep(uint64_t _number, const std::map<std::string, ServiceDemand>& _own);

	/// Applies the free capacity by the new totals.
	/// @param _states by service; a service without one has no free capacity.
	/// @param _otherHubs number of hubs of other halls that the next offers are sent to.
	void endStep(const std::map<std::string, HallServiceState>& _states, std::size_t _otherHubs);

	/// Writes the offers to the hubs of other halls.
	void fillOffers(wire::HallSum& _sum) const;

	/// Records the offers of another hall's hub.
	void onSum(const wire::HallSum& _sum);

private:
	struct Service
	{
		HallServiceState state;
		LeaseLedger ledger;
		CapacityForecast forecast;
		CapacityOffers offers;
		uint64_t kept = 0;    //!< Free capacity that is kept for offers.
		uint64_t offered = 0; //!< To each other hub, with the next sums.
		Time loggedAt;
	};

	bool leases() const;
	bool forecasts() const;
	void becomeHub(bool _isHub);
	ServiceCapacity grant(Service& _service, const std::string& _node, uint64_t _number, const ServiceDemand& _demand);
	void makeOffer(Service& _service, std::size_t _otherHubs) const;
	void log(const std::string& _name, Service& _service) const;
	static uint64_t freeTokens(const Service& _service, Time _now);

	std::string self_;
	Mechanisms mechanisms_;
	const ClockI& clock_;
	SkippedRecords& skipped_;
	mutable std::mutex mutex_;
	bool isHub_ = false;
	std::map<std::string, Service> services_;
};

} // namespace sedgecart

#endif // SEDGECART_HALL_CAPACITYHUB_H_HEADER_GUARD

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_HALL_CAPACITYEXCHANGE_H_HEADER_GUARD
#define SEDGECART_HALL_CAPACITYEXCHANGE_H_HEADER_GUARD

#include <base/clock.h>
#include <hall/capacityhub.h>
#include <leases/leaseaccount.h>
#include <loads/loadtable.h>
#include <settings/mechanisms.h>

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace sedgecart
{

namespace wire
{
class HallAnswer;
class HallReport;
} // namespace wire

class FleetController;
class Metrics;
struct EntrySettings;
struct ServiceAccount;
struct ServiceSpec;

/// Exchanges demands and capacities of the prioritized services: writes them into this node's reports, applies the
/// answers, and computes the hall's capacity while this node is the hub, which takes part without messages. Control
/// thread only, except for `onLeaseLow`.
class CapacityExchange : public LeaseListenerI
{
public:
	/// @param _reportSoon called if a lease no longer covers the requests of this node.
	CapacityExchange(boost::asio::io_context& _loop, const EntrySettings& _settings, const ClockI& _clock,
	                 const FleetController& _fleet, std::function<void()> _reportSoon);
	~CapacityExchange() override;

	CapacityExchange(const CapacityExchange&) = delete;
	CapacityExchange& operator=(const CapacityExchange&) = delete;

	/// Sets where events of the leases are counted.
	void setMetrics(Metrics& _metrics)
	{
		metrics_ = &_metrics;
	}

	/// Reads the demands of this node. Must be called before its loads are read: an admission in between then counts
	/// twice rather than not at all.
	/// @param _hub name of the node whose leases apply to this node.
	void beginStep(const std::string& _hub);

	/// Computes the capacity of the hall, and answers this node's own demand. Only at the hub.
	/// @param _totals loads of all halls.
	/// @param _hall loads of this hall's nodes.
	void updateHall(const LoadTable& _totals, const LoadTable& _hall, std::size_t _otherHubs);

	/// @returns true if a report must be sent now, so that waiting requests get capacity or a lease does not end.
	bool isReportDue() const;

	void fillReport(wire::HallReport& _report);

	/// Applies an answer of the hub to a report of this node.
	void applyAnswer(const wire::HallAnswer& _answer);

	void onLeaseLow() override;

	/// @returns what this node answers and offers as the hub.
	CapacityHub& hub()
	{
		return hub_;
	}

private:
	/// A service with an account, as of the last step.
	struct Service
	{
		std::shared_ptr<ServiceAccount> account;
		ServiceDemand demand;
		bool hasExpired = false; //!< The floor applies, as logged.
	};

	/// A report whose answer may still arrive.
	struct Sent
	{
		uint64_t number = 0;
		Time at;
		std::set<std::string> services; //!< With a demand.
	};

	bool isEnabled() const;
	bool isHub() const;
	void updateServices();
	void readDemand(Service& _service) const;
	void logEvents(const std::string& _name, Service& _service) const;
	HallServiceState stateOf(const ServiceSpec& _spec, const LoadTable& _totals, const LoadTable& _hall) const;
	void answerSelf();
	void apply(Service& _service, const ServiceCapacity& _capacity, uint64_t _number, Time _sentAt) const;
	void onLow();

	boost::asio::io_context& loop_;
	std::string name_;
	std::string hall_;
	Mechanisms mechanisms_;
	const ClockI& clock_;
	const FleetController& fleet_;
	std::function<void()> reportSoon_;
	CapacityHub hub_;
	std::map<std::string, Service> services_;
	std::deque<Sent> sent_;
	std::string hubName_;      //!< Node whose leases apply; empty: none yet.
	uint64_t selfAnswers_ = 0; //!< Number of own demands that this node has answered as the hub.
	Time reportedAt_;
	Metrics* metrics_ = nullptr;
};

} // namespace sedgecart

#endif // SEDGECART_HALL_CAPACITYEXCHANGE_H_HEADER_GUARD

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

/// \file
/// Package `leases`: the hub of a hall lends its free capacity to the nodes. `LeaseLedger` is the hub's side,
/// `LeaseAccount` that of a node, `CapacityOffers` what halls lend to each other.

#ifndef SEDGECART_LEASES_LEASEACCOUNT_H_HEADER_GUARD
#define SEDGECART_LEASES_LEASEACCOUNT_H_HEADER_GUARD

#include <base/units.h>
#include <demand/recenttokens.h>
#include <demand/servicecapacity.h>
#include <demand/servicedemand.h>

#include <cstdint>
#include <mutex>
#include <optional>

namespace sedgecart
{

/// Is notified when a lease no longer covers the requests of its node.
class LeaseListenerI
{
public:
	virtual ~LeaseListenerI() = default;

	/// Must not block and must not call the account. Called by the thread that takes from it.
	virtual void onLeaseLow() = 0;
};

/// Events of an account since they were last taken.
struct LeaseEvents
{
	uint64_t refusals = 0;        //!< Tries that neither the lease nor the floor covered.
	uint64_t floorAdmissions = 0; //!< Requests that the floor covered.
	uint64_t expiries = 0;        //!< Leases that ended without being renewed.
	bool hasLease = false;        //!< There is a valid lease now.
	bool isActive = false;        //!< Admission is bounded by leases now.
};

/// Capacity that a request was admitted with.
struct LeaseGrant
{
	/// What covered the request.
	enum class Source
	{
		None, //!< Leases were not active.
		Lease,
		Floor
	};

	uint64_t tokens = 0;
	uint32_t urgency = 0;
	Source source = Source::None;
};

/// The capacity of a service that the hub lends to this node. Taken from by the request thread, renewed by the control
/// thread. The load pattern: bursts at all nodes of a hall at once, whose requests together exceed the free memory of
/// its targets before any node learns of the others' requests. A mutex guards the few fields because they change
/// together; no call does more than some additions under it.
class LeaseAccount
{
public:
	/// @returns false if admission is not bounded by leases: the hub of the hall grants none.
	bool isActive(Time _now) const;

	/// Takes capacity for a request, from the lease or from the floor if there is no valid lease.
	/// @param _tokens that the request occupies at each layer.
	/// @returns none if neither covers it; never none if leases are not active.
	std::optional<LeaseGrant> tryTake(uint64_t _tokens, uint32_t _urgency, Time _now);

	/// Returns capacity of a request that was not sent to any target. What was reported as used since is not returned
	/// to the lease, since the hub may have lent it to another node.
	void giveBack(const LeaseGrant& _grant);

	/// Fills the fields of the lease. Must be called before the loads of the same report are read.
	/// @param _demand its waiting tokens are already filled.
	void fillDemand(ServiceDemand& _demand, Time _now);

	/// Applies a hub's answer.
	/// @param _report number of the report that it answers.
	/// @param _sentAt when that report was sent.
	void apply(const ServiceCapacity& _capacity, uint64_t _report, Time _sentAt, Time _now);

	/// The hub grants no leases: requests are admitted as if leases did not exist.
	void deactivate();

	/// Another node became the hub. The lease stays valid until its term ends.
	void onHubChanged();

	/// Sets the tokens of a usual request, the least that the floor admits per second.
	void setUsualTokens(uint64_t _tokens);

	/// @param _listener null: none. It is not called after this call has returned.
	void setListener(LeaseListenerI* _listener);

	/// @returns what happened since the last call.
	LeaseEvents takeEvents(Time _now);

private:
	void checkExpiry(Time _now);
	bool takeLease(uint64_t _tokens, uint32_t _urgency);
	bool takeFloor(uint64_t _tokens, Time _now);
	void refillFloor(Time _now);
	void notifyLow(Time _now);
	void setLease(const ServiceCapacity& _capacity, Time _until, Time _now);

	mutable std::mutex mutex_;
	/// Usage counts from one, so that no limit that a hub grants is zero, which says that it grants nothing.
	static constexpr uint64_t kFirstUsed = 1;

	bool active_ = false;
	bool hasLease_ = false;
	uint64_t used_ = kFirstUsed;         //!< Tokens admitted under leases.
	uint64_t limit_ = kFirstUsed;        //!< Value of `used_` up to which requests are admitted.
	uint64_t reportedUsed_ = kFirstUsed; //!< `used_` in the last report.
	uint64_t answered_ = 0;              //!< Number of the last report whose answer was applied.
	Time leaseUntil_;
	uint32_t maxUrgency_ = kUrgencies - 1;
	int64_t lessUrgentLeft_ = 0; //!< Tokens left for requests behind `maxUrgency_`; below 0 after a large one.
	UrgencyTokens waiting_{};    //!< As of the last report.
	RecentTokens recent_;        //!< All admissions.
	uint64_t usualTokens_ = 0;
	uint64_t floorRate_ = 0; //!< Tokens per second.
	int64_t floorLeft_ = 0;  //!< Tokens; below 0 after a large request.
	Time floorAt_;           //!< When `floorLeft_` was refilled last.
	Time notifiedAt_{INT64_MIN / 2};
	bool mayNotify_ = false; //!< The listener was not called since the last answer.
	LeaseListenerI* listener_ = nullptr;
	LeaseEvents events_;
};

} // namespace sedgecart

#endif // SEDGECART_LEASES_LEASEACCOUNT_H_HEADER_GUARD

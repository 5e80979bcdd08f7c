// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_RELAY_ADMISSIONWAIT_P_H_HEADER_GUARD
#define SEDGECART_RELAY_ADMISSIONWAIT_P_H_HEADER_GUARD

#include <admission/pendingrequest.h>
#include <base/units.h>
#include <core/relaymachine.h>
#include <leases/leaseaccount.h>
#include <queueing/admissionwaiter.h>
#include <relay/relaycontext.h>

#include <cstdint>
#include <memory>
#include <optional>

namespace sedgecart
{

class CapacityWait;
class RequestPath;
struct RelayPlan;
struct ServiceAccount;

/// Admission of one request of a prioritized service: its place in the queue, the tokens that it took and its reserved
/// path. Does nothing for other services. Loop thread only.
class AdmissionWait
{
public:
	/// All arguments must outlive this object.
	AdmissionWait(const RelayContext& _context, const RelayPlan& _plan, RequestPath& _path, CapacityWait& _wait);

	/// @returns the traits of a request, which may wait before it has begun if its service is prioritized.
	static RequestTraits traitsOf(const RelayContext& _context, const RelayPlan& _plan);

	/// @returns true if the request waits in the queue of its service.
	bool isControlled() const
	{
		return nullptr != account_;
	}

	/// Chooses the path of a send, or returns the reserved one. The first send needs tokens, and nothing may wait
	/// before it.
	SendOutcome::Enum choosePath(bool _isReroute);

	/// Reserves tokens and a path for a queued request. A stream that has begun takes what tokens there are, but does
	/// not need them: its tokens were granted when it began.
	ReserveOutcome::Enum reserve(bool _hasBegun);

	/// Queues the request.
	/// @param _lastEventAt when the caller last received an event; zero if never.
	/// @returns false if it is refused.
	bool push(const std::weak_ptr<AdmissionWaiterI>& _waiter, bool _hasBegun, Time _lastEventAt);

	/// The request has left the queue.
	void onAdmitted();
	void onWaitEnded(WaitEnd::Enum _reason);

	/// Bytes of the request have reached a target.
	void onSent();

	/// Part of the answer arrived.
	/// @param _events number of events before it.
	/// @param _lastProgressAt when the previous part arrived, or the request was sent.
	void onProgress(uint64_t _events, Time _lastProgressAt);

	/// The request is finished. Removes it from the queue.
	void end();

private:
	/// Time at which a send is late for an objective that counts from another time.
	Time startBy(Time _from, Duration _objective) const;
	PendingRequest pending(bool _hasBegun, Time _lastEventAt) const;
	uint64_t tokens() const;
	bool takeTokens();
	void giveBackTokens();
	void logWait(const PendingRequest& _request, std::size_t _ahead) const;

	const RelayContext& context_;
	const RelayPlan& plan_;
	RequestPath& path_;
	CapacityWait& wait_;
	std::shared_ptr<ServiceAccount> account_; //!< Null if the request is not controlled.
	PendingRequest request_;                  //!< As it was queued last.
	std::optional<LeaseGrant> grant_;         //!< Capacity that was taken and not used by a send.
	bool wasAdmitted_ = false;
	bool isQueued_ = false;
	bool hasPath_ = false; //!< A path was reserved and not sent to.
	bool hasEnded_ = false;
};

} // namespace sedgecart

#endif // SEDGECART_RELAY_ADMISSIONWAIT_P_H_HEADER_GUARD

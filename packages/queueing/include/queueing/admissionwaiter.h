// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_QUEUEING_ADMISSIONWAITER_H_HEADER_GUARD
#define SEDGECART_QUEUEING_ADMISSIONWAITER_H_HEADER_GUARD

namespace sedgecart
{

/// Result of an attempt to reserve capacity for a waiting request.
struct ReserveOutcome
{
	enum Enum
	{
		Reserved,   //!< Its tokens were granted and a path was found.
		NoTokens,   //!< The lease has no tokens for it. Started streams do not need them.
		NoRetry,    //!< It was sent before, and the retry budget allows no retry. Others may need none.
		NoCapacity, //!< No path has room.
		Excluded,   //!< No path avoids the targets that refused this request. Others may find one.

		Count
	};
};

/// Why a request leaves the queue without capacity.
struct WaitEnd
{
	enum Enum
	{
		Expired,   //!< It can no longer be in time, or its caller is about to leave.
		Displaced, //!< A more urgent request took its place.
		Stopping,  //!< This node stops.

		Count
	};
};

/// A request that waits for capacity in an AdmissionController.
class AdmissionWaiterI
{
public:
	virtual ~AdmissionWaiterI() = default;

	/// Reserves tokens and a path. Must not call the controller.
	virtual ReserveOutcome::Enum reserve() = 0;

	/// Sends the request over the reserved path; it is no longer queued.
	virtual void onAdmitted() = 0;

	/// Ends the wait without capacity; the request is no longer queued.
	virtual void onWaitEnded(WaitEnd::Enum _reason) = 0;
};

} // namespace sedgecart

#endif // SEDGECART_QUEUEING_ADMISSIONWAITER_H_HEADER_GUARD

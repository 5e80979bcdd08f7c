// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_CORE_STOPWINDOW_H_HEADER_GUARD
#define SEDGECART_CORE_STOPWINDOW_H_HEADER_GUARD

#include <base/units.h>

#include <optional>

namespace sedgecart
{

/// What the admission of a request during a shutdown is decided by.
struct StopAdmission
{
	enum Enum
	{
		ByTimeLimit, //!< Admitted: it has a complete answer in time, whatever its target does.
		ByEstimate,  //!< Admitted: it is expected to finish in time.
		TooLong,     //!< Refused: it is not expected to finish in time.
		Unbounded,   //!< Refused: nothing makes sure that it has an answer in time.

		Count
	};
};

/// @returns the name used in logs, for example "time_limit".
const char* nameOf(StopAdmission::Enum _admission);

/// @returns true if the request is admitted.
bool isAdmitted(StopAdmission::Enum _admission);

/// Decides which requests a node that is shutting down still admits, and when it ends those that are left. Callers
/// arrive until the load balancer has noticed. They may find no other node as quickly, so that requests are admitted
/// until then which are expected to finish. Those that arrive later come over connections that were open before, and
/// their callers can go to another node at once: none of these may be cut off, and no observation of earlier requests
/// limits how long the next one takes. They are admitted only if their own time limit ends them in time.
class StopWindow
{
public:
	/// @param _signalAt when the stop signal arrived.
	/// @param _bound time from the signal to the kill.
	StopWindow(Time _signalAt, Duration _bound);

	/// @param _timeLimit time after which the request has a complete answer in any case; none if nothing ensures one.
	/// @param _estimate time that the request is expected to take.
	/// @returns whether and why a request that arrives now is admitted.
	StopAdmission::Enum decide(std::optional<Duration> _timeLimit, Duration _estimate, Time _now) const;

	/// @returns when the stop signal arrived.
	Time signalAt() const
	{
		return signalAt_;
	}

	/// @returns true while the load balancer may still send callers to this node. Connections at rest are closed
	/// afterwards.
	bool callersMayArrive(Time _now) const;

	/// @returns when requests whose answer has not begun get an error response.
	Time finalAnswersAt() const;

	/// @returns when all requests must have ended so that the process can exit before the kill.
	Time deadline() const;

private:
	Time signalAt_;
	Duration bound_;
};

} // namespace sedgecart

#endif // SEDGECART_CORE_STOPWINDOW_H_HEADER_GUARD

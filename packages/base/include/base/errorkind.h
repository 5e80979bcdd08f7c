// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_BASE_ERRORKIND_H_HEADER_GUARD
#define SEDGECART_BASE_ERRORKIND_H_HEADER_GUARD

#include <cstdint>

namespace sedgecart
{

/// Whether a failed request was executed.
struct Executed
{
	enum Enum
	{
		No,      //!< Nothing was sent to a target, or each target that received it refused before starting.
		Unknown, //!< It may have been executed, completely or in part.
		Yes,     //!< It was executed.

		Count
	};
};

/// Every way in which a request or an operator's command can fail. The list is closed: no other error is returned.
struct ErrorKind
{
	enum Enum
	{
		BadRequest,        //!< The request cannot be read or lacks a field.
		BadKey,            //!< No customer has this bearer key, or the operator's key is wrong.
		UnknownRoute,      //!< No route of that name.
		UnknownPath,       //!< Nothing is served under this path.
		BadMethod,         //!< The path is served with another method.
		TooLarge,          //!< Header or body exceeds the limit.
		RouteElsewhere,    //!< The other side holds the route.
		NoTargets,         //!< No live targets cover the route now.
		Overloaded,        //!< No slot became free in time.
		CustomerOverLimit, //!< The customer has too many requests waiting.
		DeadlineTooShort,  //!< It could not finish before its deadline, so it was not started.
		LogUnavailable,    //!< The log is unavailable, so a keyed call cannot be claimed.
		CatchingUp,        //!< This node has not yet read the log far enough.
		Stopping,          //!< This node shuts down before the request could finish.
		StoppedRunning,    //!< This node shuts down while the request is running.
		ClaimInProgress,   //!< Another call with this key is running.
		ClaimUnknown,      //!< A call with this key was sent, and its outcome is not known.
		ClaimOutcomeLost,  //!< A call with this key was executed, but its answer was too large to store.
		ClaimMismatch,     //!< The key was already used for a different call.
		CrashesTargets,    //!< Targets crashed during earlier attempts of this request, so it is blocked.
		TargetRefused,     //!< The target refused the request before starting it.
		TargetLost,        //!< The connection to the target was lost after the call was sent.
		StreamBroken,      //!< The answer could not be finished on any chain.
		DeadlinePassed,    //!< The deadline passed during execution.
		CommandInvalid,    //!< The command cannot be read.
		CommandLost,       //!< Another command changed the object first.
		CommandUnknown,    //!< The log did not confirm whether it accepted the command.
		Internal,          //!< An internal error of sedgecart.

		Count
	};
};

/// How an error kind is reported to the caller.
struct ErrorResponse
{
	ErrorKind::Enum kind;    //!< The row's kind, checked against its index.
	const char* name;        //!< Name in the answer.
	uint16_t status;         //!< HTTP status.
	Executed::Enum executed; //!< Whether the request was executed.
	bool retry;              //!< A later retry may succeed.
	const char* message;     //!< Human-readable description.
};

/// @param _kind any kind below Count.
/// @returns the row of the kind.
const ErrorResponse& responseOf(ErrorKind::Enum _kind);

/// @returns "no", "unknown" or "yes".
const char* nameOf(Executed::Enum _ran);

} // namespace sedgecart

#endif // SEDGECART_BASE_ERRORKIND_H_HEADER_GUARD

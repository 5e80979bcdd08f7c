// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <base/errorkind.h>

#include <cstddef>

namespace sedgecart
{

namespace
{

// clang-format off
constexpr ErrorResponse kAnswers[] = {
	{ErrorKind::BadRequest,        "bad_request",        400, Executed::No,      false, "The request is malformed."},
	{ErrorKind::BadKey,            "bad_key",            401, Executed::No,      false, "The key is unknown."},
	{ErrorKind::UnknownRoute,      "unknown_route",      404, Executed::No,      false, "The route does not exist."},
	{ErrorKind::UnknownPath,       "unknown_path",       404, Executed::No,      false, "Nothing is served under this path."},
	{ErrorKind::BadMethod,         "bad_method",         405, Executed::No,      false, "The path does not support this method."},
	{ErrorKind::TooLarge,          "too_large",          413, Executed::No,      false, "The request exceeds the size limit."},
	{ErrorKind::RouteElsewhere,    "route_elsewhere",    503, Executed::No,      true,  "The other side holds this route."},
	{ErrorKind::NoTargets,         "no_targets",         503, Executed::No,      true,  "No live targets cover this route at present."},
	{ErrorKind::Overloaded,        "overloaded",         429, Executed::No,      true,  "All slots are in use."},
	{ErrorKind::CustomerOverLimit, "customer_over_limit", 429, Executed::No,     true,  "Too many requests of this customer are waiting."},
	{ErrorKind::DeadlineTooShort,  "deadline_too_short", 429, Executed::No,      true,  "The request could not start in time for its deadline."},
	{ErrorKind::LogUnavailable,            "log_out",            503, Executed::No,      true,  "The log is unavailable, and keyed calls require it."},
	{ErrorKind::CatchingUp,        "catching_up",        503, Executed::No,      true,  "This node is still reading the log."},
	{ErrorKind::Stopping,          "stopping",           503, Executed::No,      true,  "This node shuts down before the request could finish."},
	{ErrorKind::StoppedRunning,    "stopped_running",    504, Executed::Unknown, false, "This node shuts down while the request is running."},
	{ErrorKind::ClaimInProgress,   "claim_in_progress",  409, Executed::Unknown, true,  "A call with this key is in progress."},
	{ErrorKind::ClaimUnknown,      "claim_unknown",      409, Executed::Unknown, false, "A call with this key was sent; its outcome is unknown."},
	{ErrorKind::ClaimOutcomeLost,  "claim_outcome_lost", 409, Executed::Yes,     false, "A call with this key was executed; its answer was not stored."},
	{ErrorKind::ClaimMismatch,     "claim_mismatch",     422, Executed::No,      false, "The key was already used for a different call."},
	{ErrorKind::CrashesTargets,       "ends_targets",       503, Executed::No,      true,  "Targets crashed while running this request, so it is blocked."},
	{ErrorKind::TargetRefused,     "target_refused",     503, Executed::No,      true,  "The target refused the request before starting it."},
	{ErrorKind::TargetLost,        "target_lost",        502, Executed::Unknown, false, "The target was lost after the call was sent."},
	{ErrorKind::StreamBroken,      "stream_broken",      502, Executed::Unknown, false, "The answer could not be completed."},
	{ErrorKind::DeadlinePassed,    "deadline_passed",    504, Executed::Unknown, false, "The deadline passed while the request was running."},
	{ErrorKind::CommandInvalid,    "command_invalid",    400, Executed::No,      false, "The command is malformed."},
	{ErrorKind::CommandLost,       "command_lost",       409, Executed::No,      false, "Another command changed the object first."},
	{ErrorKind::CommandUnknown,    "command_unknown",    503, Executed::Unknown, true,  "The log did not confirm whether it accepted the command."},
	{ErrorKind::Internal,          "internal",           500, Executed::Unknown, false, "Internal error of the router."},
};
// clang-format on

constexpr bool isOrdered()
{
	for (std::size_t index = 0; index < ErrorKind::Count; ++index)
	{
		if (static_cast<ErrorKind::Enum>(index) != kAnswers[index].kind)
		{
			return false;
		}
	}
	return true;
}

static_assert(ErrorKind::Count == sizeof(kAnswers) / sizeof(kAnswers[0]), "every kind needs a row");
static_assert(isOrdered(), "rows must be in the order of the kinds");

constexpr const char* kRanNames[] = {"no", "unknown", "yes"};
static_assert(Executed::Count == sizeof(kRanNames) / sizeof(kRanNames[0]), "every value needs a name");

} // namespace

const ErrorResponse& responseOf(ErrorKind::Enum _kind)
{
	return kAnswers[_kind];
}

const char* nameOf(Executed::Enum _ran)
{
	return kRanNames[_ran];
}

} // namespace sedgecart

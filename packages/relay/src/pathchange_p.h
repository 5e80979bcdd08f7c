// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_RELAY_PATHCHANGE_P_H_HEADER_GUARD
#define SEDGECART_RELAY_PATHCHANGE_P_H_HEADER_GUARD

#include "requestpath_p.h"

#include <ports/runnerorders.h>
#include <relay/relaycontext.h>

#include <functional>
#include <memory>
#include <string>

namespace sedgecart
{

class RelayLog;
class RelaySend;
struct RelayPlan;

/// Callbacks of a path change into its request.
struct PathChangeCallbacks
{
	std::function<bool()> isActive;    //!< Whether the send is still the current one, and the request not finished.
	std::function<bool()> staysOnPath; //!< Whether the path makes progress after all; the request then stays on it.
	std::function<void()> onFailed;    //!< The change failed: the request has to leave its head.
};

/// Orders the head of a request's path to continue over other stages, when a later target is suspected dead. Loop
/// thread only.
class PathChange
{
public:
	/// All arguments must outlive this object.
	PathChange(const RelayContext& _context, const RelayPlan& _plan, RequestPath& _path, const RelayLog& _log);

	/// Orders the head to continue over other stages, and retries with different ones if one of them is missing.
	/// @returns false if there are none, or too many were tried; no callback is called then.
	bool begin(const std::shared_ptr<RelaySend>& _send, const PathChangeCallbacks& _callbacks);

private:
	void onAnswer(RelaySend& _send, const RequestPath::ChosenPath& _path, RepathState::Enum _state);
	bool excludeMissingStage(const RequestPath::ChosenPath& _path, RepathState::Enum _state,
	                         const std::string& _atFault);

	const RelayContext& context_;
	const RelayPlan& plan_;
	RequestPath& path_;
	const RelayLog& log_;
};

} // namespace sedgecart

#endif // SEDGECART_RELAY_PATHCHANGE_P_H_HEADER_GUARD

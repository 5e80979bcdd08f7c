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

/// What a change of path asks and tells of its request.
struct PathChangeCalls
{
	std::function<bool()> isUnderWay; //!< Whether the send is the one under way, and the request still there.
	std::function<bool()> staysOn;    //!< Whether the path goes on after all; the request then stays on it.
	std::function<void()> onFailed;   //!< The request has to leave its first target.
};

/// Has the first target of one request go on over other parts, when a part behind it is suspected to be dead. Loop
/// thread only.
class PathChange
{
public:
	/// All must outlive it.
	PathChange(const RelayContext& _context, const RelayPlan& _plan, RequestPath& _path, const RelayLog& _log);

	/// Asks the first target to go on over other parts. It may ask again for others, when one of them is missing.
	/// @returns false if there are none, or too many were tried; nothing is called then.
	bool begin(const std::shared_ptr<RelaySend>& _send, const PathChangeCalls& _calls);

private:
	void onAnswer(RelaySend& _send, const RequestPath::Place& _place, RepathState::Enum _state);
	bool mayTryOthers(const RequestPath::Place& _place, RepathState::Enum _state, const std::string& _atFault);

	const RelayContext& context_;
	const RelayPlan& plan_;
	RequestPath& path_;
	const RelayLog& log_;
};

} // namespace sedgecart

#endif // SEDGECART_RELAY_PATHCHANGE_P_H_HEADER_GUARD

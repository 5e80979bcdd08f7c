// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "pathchange_p.h"

#include "relaylog_p.h"
#include "relayplan_p.h"
#include "relaysend_p.h"

#include <base/clock.h>
#include <metrics/metrics.h>

namespace sedgecart
{

PathChange::PathChange(const RelayContext& _context, const RelayPlan& _plan, RequestPath& _path, const RelayLog& _log)
    : context_(_context),
      plan_(_plan),
      path_(_path),
      log_(_log)
{
}

bool PathChange::begin(const std::shared_ptr<RelaySend>& _send, const PathChangeCallbacks& _callbacks)
{
	RequestPath::ChosenPath other;
	if (0 == _send->repathsLeft || !path_.chooseRemainingStages(other))
	{
		return false;
	}
	--_send->repathsLeft;
	_send->repathing = true;
	const std::weak_ptr<RelaySend> send = _send;
	context_.orders.repath(path_.head().record.address, plan_.caller.id, RequestPath::stopsOf(other),
	                       [this, send, other, _callbacks](RepathState::Enum _state, const std::string& _atFault)
	                       {
		                       if (!_callbacks.isActive())
		                       {
			                       return;
		                       }
		                       const std::shared_ptr<RelaySend> current = send.lock();
		                       onAnswer(*current, other, _state);
		                       if (RepathState::Moved == _state || _callbacks.staysOnPath())
		                       {
			                       return;
		                       }
		                       if (!excludeMissingStage(other, _state, _atFault) || !begin(current, _callbacks))
		                       {
			                       _callbacks.onFailed();
		                       }
	                       });
	return true;
}

void PathChange::onAnswer(RelaySend& _send, const RequestPath::ChosenPath& _path, RepathState::Enum _state)
{
	const bool changed = RepathState::Moved == _state;
	_send.repathing = false;
	_send.mayHaveRepathed = !changed && (_send.mayHaveRepathed || RepathState::Unknown == _state);
	log_.outcome("Request changes its path.", LogLevel::Info, nameOf(_state), _send.answer.atFault);
	if (changed)
	{
		context_.metrics.add(Counter::PathChanges);
		path_.switchTo(_path);
		_send.lastProgressAt = context_.clock.now();
	}
}

/// Excludes the target that is reported not to hold its stage.
/// @returns true if a stage is missing, so that another path may be tried.
bool PathChange::excludeMissingStage(const RequestPath::ChosenPath& _path, RepathState::Enum _state,
                                     const std::string& _atFault)
{
	const FleetTarget* const missing =
	    RepathState::NoStage == _state ? RequestPath::findByAddress(_path, _atFault) : nullptr;
	if (nullptr == missing)
	{
		return false;
	}
	path_.exclude(*missing);
	return true;
}

} // namespace sedgecart

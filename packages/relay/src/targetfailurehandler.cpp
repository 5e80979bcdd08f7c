// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "targetfailurehandler_p.h"

#include "relaylog_p.h"
#include "requestpath_p.h"

#include <base/clock.h>
#include <ports/wireformat.h>
#include <settings/mechanisms.h>

namespace sedgecart
{

namespace
{

/// How long a target that failed is avoided if there is another one.
constexpr Duration kAvoidedFor = Duration::fromMillis(1500);

/// How long a node is avoided that declined to take a request over, mostly because it reaches no target either. Links
/// are cut for seconds.
constexpr Duration kDeclinedFor = Duration::fromMillis(2000);

/// How long a target is avoided that refused a request because it is full, draining or giving up layers. Some of its
/// requests end meanwhile.
constexpr Duration kRefusedFor = Duration::fromMillis(200);

} // namespace

TargetFailureHandler::TargetFailureHandler(const RelayContext& _context, RequestPath& _path, const RelayLog& _log)
    : context_(_context),
      path_(_path),
      log_(_log)
{
}

void TargetFailureHandler::onFailure(const TargetResponse& _answer, const char* _failure)
{
	const FleetTarget* const named = RequestPath::findByAddress(path_.chosenPath(), _answer.atFault);
	const FleetTarget& failed = nullptr == named ? path_.head() : *named;
	const Time until = context_.clock.now() + (_answer.notExecuted ? kRefusedFor : kAvoidedFor);
	_answer.notExecuted ? path_.excludeUntil(failed, until) : path_.exclude(failed);
	failed.load->avoidedUntil.store(until.micros, std::memory_order_relaxed);
	log_.outcome("Target failed a request.", LogLevel::Info, failed.record.instance.text, _answer.atFault,
	             {{"failure", _failure}});
	if (_answer.layersNotHeld && (nullptr != named || _answer.atFault.empty()))
	{
		recordMissingLayers(failed, _answer.atFault);
	}
}

void TargetFailureHandler::onDeclined()
{
	const FleetTarget& node = path_.head();
	path_.exclude(node);
	node.load->avoidedUntil.store((context_.clock.now() + kDeclinedFor).micros, std::memory_order_relaxed);
	log_.outcome("Node declined to take a request over.", LogLevel::Info, node.record.instance.text, std::string());
}

/// Records that the target itself contradicts its record, so that no other request has to be refused to find that out.
void TargetFailureHandler::recordMissingLayers(const FleetTarget& _failed, const std::string& _atFault)
{
	const Time now = context_.clock.now();
	if (!context_.mechanisms.isEnabled(Mechanism::RefusalEvidence))
	{
		return;
	}
	if (!_failed.load->lacksLayers(_failed.record.layers, now))
	{
		const std::string& name = _failed.record.instance.text;
		log_.outcome("Target does not hold the layers that its record shows.", LogLevel::Warning, name, _atFault);
	}
	_failed.load->recordMissingLayers(_failed.record.layers, now + kMissingLayersTimeout);
}

} // namespace sedgecart

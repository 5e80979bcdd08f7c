// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "requestpath_p.h"

#include "relayplan_p.h"

#include <base/clock.h>
#include <core/linkuse.h>

namespace sedgecart
{

namespace
{

/// An answer takes room for this part of its hinted length, one in so many: it grows from nothing, so that half is its
/// mean. Counted whole, requests are refused while room is free: worth of what was served 0.564 against 0.600 (1: all
/// in time; mean of 20 runs with failing targets). Targets then run out of memory at times: up to 152 requests in one
/// of the runs are read again.
constexpr uint64_t kMeanPart = 2;

} // namespace

RequestPath::RequestPath(const RelayContext& _context, const RelayPlan& _plan) : context_(_context), plan_(_plan)
{
}

uint64_t RequestPath::heldTokens() const
{
	const bool mean = context_.mechanisms.on(Mechanism::MeanAnswer);
	return plan_.caller.promptTokens + (mean ? plan_.caller.hintedTokens / kMeanPart : plan_.caller.hintedTokens);
}

ChoiceQuery RequestPath::query(const FleetService& _service, uint32_t _nodes, bool _moves) const
{
	const auto tokens = static_cast<double>(heldTokens());
	const Time now = context_.clock.now();
	return ChoiceQuery{_service, failed_, _nodes, tokens, now, context_.mechanisms, context_.link.taken(now), _moves};
}

SendOutcome::Enum RequestPath::find(std::shared_ptr<const FleetService>& _service, uint32_t& _nodes, bool _moves,
                                    Choice& _choice) const
{
	{
		const RcuCell<FleetView>::Reader view(context_.cell.view);
		const auto row = view->services.find(plan_.service);
		_service = view->services.end() == row ? nullptr : row->second;
		_nodes = view->nodes;
	}
	if (!_service)
	{
		return SendOutcome::NoTargets;
	}
	const ChoiceQuery wanted = query(*_service, _nodes, _moves);
	return _service->spec->hasEngine ? choosePath(wanted, context_.random, _choice)
	                                 : chooseTarget(wanted, context_.random, _choice);
}

SendOutcome::Enum RequestPath::choose(bool _moves)
{
	std::shared_ptr<const FleetService> service;
	uint32_t nodes = 1;
	Choice choice;
	const SendOutcome::Enum outcome = find(service, nodes, _moves, choice);
	if (SendOutcome::Begun != outcome)
	{
		return outcome;
	}
	service_ = std::move(service);
	nodes_ = nodes;
	choice_ = choice;
	hold();
	return outcome;
}

bool RequestPath::hasOther(bool _moves) const
{
	std::shared_ptr<const FleetService> service;
	uint32_t nodes = 1;
	Choice choice;
	return SendOutcome::Begun == find(service, nodes, _moves, choice);
}

bool RequestPath::chooseRest(Choice& _rest) const
{
	constexpr bool kMoves = true;
	_rest = choice_;
	return sedgecart::chooseRest(query(*service_, nodes_, kMoves), _rest);
}

void RequestPath::changeTo(const Choice& _choice)
{
	choice_ = _choice;
	hold();
}

void RequestPath::hold()
{
	hold_.take(*service_, choice_, heldTokens());
	if (hasEngine())
	{
		constexpr bool kMoves = false;
		context_.link.add(linkTime(query(*service_, nodes_, kMoves), choice_), context_.clock.now());
	}
}

void RequestPath::release()
{
	hold_.release();
}

const FleetTarget& RequestPath::target(const PathPart& _part) const
{
	return service_->targets[_part.candidate];
}

const FleetTarget& RequestPath::head() const
{
	return target(choice_.parts.front());
}

std::vector<const FleetTarget*> RequestPath::targets() const
{
	std::vector<const FleetTarget*> targets;
	for (const PathPart& part : choice_.parts)
	{
		targets.push_back(&target(part));
	}
	return targets;
}

bool RequestPath::hasEngine() const
{
	return service_ && service_->spec->hasEngine;
}

std::vector<PathStop> RequestPath::stops() const
{
	return stopsOf(choice_);
}

std::vector<PathStop> RequestPath::stopsOf(const Choice& _choice) const
{
	std::vector<PathStop> stops;
	for (const PathPart& part : _choice.parts)
	{
		stops.push_back(PathStop{target(part).record.address, part.layers});
	}
	return stops;
}

const FleetTarget* RequestPath::findByAddress(const Choice& _choice, const std::string& _address) const
{
	for (const PathPart& part : _choice.parts)
	{
		if (_address == target(part).record.address)
		{
			return &target(part);
		}
	}
	return nullptr;
}

void RequestPath::passOver(const FleetTarget& _target)
{
	failed_.insert(_target.record.instance.text);
}

void RequestPath::forgive(const FleetTarget& _target)
{
	failed_.erase(_target.record.instance.text);
}

double RequestPath::tightestRoom() const
{
	constexpr bool kMoves = false;
	return sedgecart::tightestRoom(query(*service_, nodes_, kMoves), choice_);
}

std::string RequestPath::text() const
{
	std::string path;
	for (const PathPart& part : choice_.parts)
	{
		const FleetTarget& stop = target(part);
		path += path.empty() ? "" : ",";
		path += stop.record.instance.text + '/' + stop.record.hall + '/' + std::to_string(part.layers.begin) + '-' +
		        std::to_string(part.layers.end);
	}
	return path;
}

} // namespace sedgecart

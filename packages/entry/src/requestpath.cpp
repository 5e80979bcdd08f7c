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

ChoiceQuery RequestPath::query(const Place& _place, bool _moves) const
{
	const auto tokens = static_cast<double>(heldTokens());
	const Time now = context_.clock.now();
	const double linkTaken = context_.link.taken(now);
	return ChoiceQuery{*_place.service, failed_, _place.nodes, tokens, now, context_.mechanisms, linkTaken, _moves};
}

/// Finds a path in the fleet as it is now.
SendOutcome::Enum RequestPath::find(bool _moves, Place& _place) const
{
	{
		const RcuCell<FleetView>::Reader view(context_.cell.view);
		const auto row = view->services.find(plan_.service);
		_place.service = view->services.end() == row ? nullptr : row->second;
		_place.nodes = view->nodes;
	}
	if (!_place.service)
	{
		return SendOutcome::NoTargets;
	}
	const ChoiceQuery wanted = query(_place, _moves);
	return _place.service->spec->hasEngine ? choosePath(wanted, context_.random, _place.choice)
	                                       : chooseTarget(wanted, context_.random, _place.choice);
}

/// As `find`, without what the request takes where it is: it leaves that, and a part that both paths go over must not
/// be taken as full of it.
SendOutcome::Enum RequestPath::findOther(bool _moves, Place& _place) const
{
	if (!place_.hold)
	{
		return find(_moves, _place);
	}
	place_.hold->release();
	const SendOutcome::Enum outcome = find(_moves, _place);
	place_.hold->take(*place_.service, place_.choice, heldTokens());
	return outcome;
}

SendOutcome::Enum RequestPath::choose(bool _moves)
{
	Place place;
	const SendOutcome::Enum outcome = find(_moves, place);
	if (SendOutcome::Begun == outcome)
	{
		place_ = std::move(place);
		hold();
	}
	return outcome;
}

SendOutcome::Enum RequestPath::chooseBeside(bool _moves)
{
	Place place;
	const SendOutcome::Enum outcome = findOther(_moves, place);
	if (SendOutcome::Begun == outcome)
	{
		kept_ = std::make_unique<Place>(std::move(place_));
		place_ = std::move(place);
		hold();
	}
	return outcome;
}

void RequestPath::dropKept()
{
	kept_.reset();
}

void RequestPath::returnToKept()
{
	place_ = std::move(*kept_);
	kept_.reset();
}

bool RequestPath::sharesHeadWithKept() const
{
	if (!kept_ || kept_->choice.parts.empty())
	{
		return false;
	}
	const FleetTarget& before = kept_->service->targets[kept_->choice.parts.front().candidate];
	return before.record.instance == head().record.instance;
}

bool RequestPath::hasOther(bool _moves) const
{
	Place place;
	return SendOutcome::Begun == findOther(_moves, place);
}

bool RequestPath::chooseRest(Choice& _rest) const
{
	constexpr bool kMoves = true;
	_rest = place_.choice;
	return sedgecart::chooseRest(query(place_, kMoves), _rest);
}

void RequestPath::changeTo(const Choice& _choice)
{
	place_.choice = _choice;
	hold();
}

void RequestPath::hold()
{
	place_.hold = std::make_unique<LoadHold>();
	place_.hold->take(*place_.service, place_.choice, heldTokens());
	if (hasEngine())
	{
		constexpr bool kMoves = false;
		context_.link.add(linkTime(query(place_, kMoves), place_.choice), context_.clock.now());
	}
}

void RequestPath::release()
{
	place_.hold.reset();
}

const FleetTarget& RequestPath::target(const PathPart& _part) const
{
	return place_.service->targets[_part.candidate];
}

const FleetTarget& RequestPath::head() const
{
	return target(place_.choice.parts.front());
}

std::vector<const FleetTarget*> RequestPath::targets() const
{
	std::vector<const FleetTarget*> targets;
	for (const PathPart& part : place_.choice.parts)
	{
		targets.push_back(&target(part));
	}
	return targets;
}

bool RequestPath::hasEngine() const
{
	return place_.service && place_.service->spec->hasEngine;
}

std::vector<PathStop> RequestPath::stops() const
{
	return stopsOf(place_.choice);
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
	failed_.insert(_target.record.life());
}

void RequestPath::forgive(const FleetTarget& _target)
{
	failed_.erase(_target.record.life());
}

double RequestPath::tightestRoom() const
{
	constexpr bool kMoves = false;
	return sedgecart::tightestRoom(query(place_, kMoves), place_.choice);
}

std::string RequestPath::text() const
{
	std::string path;
	for (const PathPart& part : place_.choice.parts)
	{
		const FleetTarget& stop = target(part);
		path += path.empty() ? "" : ",";
		path += stop.record.instance.text + '/' + stop.record.hall + '/' + std::to_string(part.layers.begin) + '-' +
		        std::to_string(part.layers.end);
	}
	return path;
}

} // namespace sedgecart

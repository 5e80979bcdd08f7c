// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "requestpath_p.h"

#include "relayplan_p.h"

#include <base/clock.h>
#include <core/linkuse.h>
#include <relay/rateledger.h>

#include <algorithm>
#include <iterator>

namespace sedgecart
{

namespace
{

/// An answer takes room for this part of its hinted length, one in so many: it grows from nothing, so that half is its
/// mean. Counted whole, requests are refused while room is free: worth of what was served 0.564 against 0.600 (1: all
/// in time; mean of 20 runs with failing targets). Targets then run out of memory at times: up to 152 requests in one
/// of the runs are read again.
constexpr uint64_t kMeanPart = 2;

const FleetTarget& targetOf(const RequestPath::Place& _place, const PathPart& _part)
{
	return _place.service->targets[_part.candidate];
}

/// @returns the number of a target in a service, the number of all if it is not there.
uint32_t indexOf(const FleetService& _service, const TargetLife& _target)
{
	const auto found = std::find_if(_service.targets.begin(), _service.targets.end(),
	                                [&_target](const FleetTarget& _one)
	                                {
		                                return _target == _one.record.life();
	                                });
	return static_cast<uint32_t>(found - _service.targets.begin());
}

} // namespace

RequestPath::RequestPath(const RelayContext& _context, const RelayPlan& _plan) : context_(_context), plan_(_plan)
{
}

uint64_t RequestPath::heldTokens() const
{
	const bool mean = context_.mechanisms.on(Mechanism::MeanAnswer);
	return plan_.caller.promptTokens + (mean ? plan_.caller.hintedTokens / kMeanPart : plan_.caller.hintedTokens);
}

const FleetTarget* RequestPath::headOf(const Place& _place)
{
	return _place.choice.parts.empty() ? nullptr : &targetOf(_place, _place.choice.parts.front());
}

/// A target that a kept send runs at knows the request by its id, and must not have it twice.
RequestPath::Barred RequestPath::barred() const
{
	Barred barred = failed_;
	const FleetTarget* const kept = kept_ ? headOf(kept_->place) : nullptr;
	if (nullptr != kept)
	{
		barred.insert(kept->record.life());
	}
	return barred;
}

/// The same for a send beside the one under way.
RequestPath::Barred RequestPath::barredBeside() const
{
	Barred all = barred();
	const FleetTarget* const current = headOf(place_);
	if (nullptr != current)
	{
		all.insert(current->record.life());
	}
	return all;
}

ChoiceQuery RequestPath::query(const Place& _place, const Barred& _barred, bool _moves) const
{
	const auto tokens = static_cast<double>(heldTokens());
	const Time now = context_.clock.now();
	const double linkTaken = context_.link.taken(now);
	return ChoiceQuery{*_place.service,     _barred,   _place.nodes, tokens,          now,
	                   context_.mechanisms, linkTaken, _moves,       _place.hallPeers};
}

/// Finds a path in the fleet as it is now.
SendOutcome::Enum RequestPath::find(const Barred& _barred, bool _moves, Place& _place) const
{
	{
		const RcuCell<FleetView>::Reader view(context_.cell.view);
		const auto row = view->services.find(plan_.service);
		_place.service = view->services.end() == row ? nullptr : row->second;
		_place.nodes = view->nodes;
		_place.hallPeers = view->hallPeers;
		_place.roster = view->roster;
	}
	untilOpen_.reset();
	if (!_place.service)
	{
		return SendOutcome::NoTargets;
	}
	const Closed closed = closedTargets(_place);
	ChoiceQuery wanted = query(_place, _barred, _moves);
	wanted.closed = &closed.targets;
	const SendOutcome::Enum outcome = _place.service->spec->hasEngine
	                                      ? choosePath(wanted, context_.random, _place.choice)
	                                      : chooseTarget(wanted, context_.random, _place.choice);
	if (SendOutcome::Begun != outcome && closed.isAll && closed.opensAt < RateGate::kNever)
	{
		untilOpen_ = closed.opensAt - wanted.now;
	}
	return outcome;
}

/// @returns when a target takes a request of this node by its own word.
Time RequestPath::opensAt(const FleetTarget& _target, const Place& _place, Time _now) const
{
	if (context_.mechanisms.on(Mechanism::DrainNotice) && _target.load->draining.load(std::memory_order_relaxed))
	{
		return RateGate::kNever;
	}
	Time opensAt = _now;
	if (context_.mechanisms.on(Mechanism::RateLimits))
	{
		opensAt = context_.rates.opensAt(_target, _place.roster, _now);
	}
	if (context_.mechanisms.on(Mechanism::TargetBackoff))
	{
		opensAt = std::max(opensAt, Time{_target.load->backoffUntil.load(std::memory_order_relaxed)});
	}
	return opensAt;
}

RequestPath::Closed RequestPath::closedTargets(const Place& _place) const
{
	Closed closed{{}, RateGate::kNever, true};
	const Time now = context_.clock.now();
	for (const FleetTarget& target : _place.service->targets)
	{
		const bool takesRequests = 0 == target.record.layers.begin;
		const Time opens = opensAt(target, _place, now);
		if (now < opens)
		{
			closed.targets.insert(target.record.life());
			closed.opensAt = takesRequests ? std::min(closed.opensAt, opens) : closed.opensAt;
		}
		else if (takesRequests)
		{
			closed.isAll = false;
		}
	}
	return closed;
}

/// The request goes to the first target: it counts against the rate that the target takes.
void RequestPath::noteSend()
{
	context_.rates.onSent(head(), context_.clock.now());
}

/// Finds a path beside the one that the request is on, without what the request takes there: it leaves that, and a part
/// that both paths go over must not be taken as full of it.
SendOutcome::Enum RequestPath::findOther(bool _moves, Place& _place) const
{
	if (hold_)
	{
		hold_->release();
	}
	const SendOutcome::Enum outcome = find(barredBeside(), _moves, _place);
	if (hold_)
	{
		hold_->take(*place_.service, place_.choice, heldTokens());
	}
	return outcome;
}

SendOutcome::Enum RequestPath::choose(bool _moves)
{
	Place place;
	const SendOutcome::Enum outcome = find(barred(), _moves, place);
	if (SendOutcome::Begun == outcome)
	{
		place_ = std::move(place);
		hold();
		noteSend();
	}
	return outcome;
}

SendOutcome::Enum RequestPath::chooseBeside(bool _moves)
{
	Place place;
	const SendOutcome::Enum outcome = findOther(_moves, place);
	if (SendOutcome::Begun == outcome)
	{
		kept_ = std::make_unique<Kept>(Kept{std::move(place_), std::move(hold_)});
		place_ = std::move(place);
		hold();
		noteSend();
	}
	return outcome;
}

void RequestPath::dropKept()
{
	kept_.reset();
}

void RequestPath::returnToKept()
{
	place_ = std::move(kept_->place);
	hold_ = std::move(kept_->hold);
	kept_.reset();
}

bool RequestPath::hasOther(bool _moves) const
{
	Place place;
	return SendOutcome::Begun == findOther(_moves, place);
}

/// Targets that came since the request was sent are seen, such as one that has just been given the layers of a target
/// that ended. Where the first target is not chosen from any more, because it leaves, the fleet of back then is gone
/// by.
bool RequestPath::chooseRest(Place& _rest) const
{
	constexpr bool kMoves = true;
	const Barred without = barred();
	_rest = place_;
	{
		const RcuCell<FleetView>::Reader view(context_.cell.view);
		const auto row = view->services.find(plan_.service);
		const std::shared_ptr<const FleetService> now = view->services.end() == row ? nullptr : row->second;
		const uint32_t index = now ? indexOf(*now, head().record.life()) : 0;
		if (now && index < now->targets.size())
		{
			_rest.service = now;
			_rest.nodes = view->nodes;
			_rest.hallPeers = view->hallPeers;
			_rest.choice.parts.resize(1); // of the old path only the first part is known there
			_rest.choice.parts.front().candidate = index;
		}
	}
	const uint32_t crossings = hallCrossings(*place_.service, place_.choice);
	return sedgecart::chooseRest(query(_rest, without, kMoves), crossings, _rest.choice);
}

void RequestPath::changeTo(const Place& _place)
{
	place_ = _place;
	hold();
}

void RequestPath::hold()
{
	hold_ = std::make_unique<LoadHold>();
	hold_->take(*place_.service, place_.choice, heldTokens());
	if (hasEngine())
	{
		constexpr bool kMoves = false;
		context_.link.add(linkTime(query(place_, failed_, kMoves), place_.choice), context_.clock.now());
	}
}

void RequestPath::release()
{
	hold_.reset();
}

const FleetTarget& RequestPath::head() const
{
	return *headOf(place_);
}

std::vector<const FleetTarget*> RequestPath::targets() const
{
	std::vector<const FleetTarget*> targets;
	for (const PathPart& part : place_.choice.parts)
	{
		targets.push_back(&targetOf(place_, part));
	}
	return targets;
}

bool RequestPath::hasEngine() const
{
	return place_.service && place_.service->spec->hasEngine;
}

std::vector<PathStop> RequestPath::stops() const
{
	return stopsOf(place_);
}

std::vector<PathStop> RequestPath::stopsOf(const Place& _place)
{
	std::vector<PathStop> stops;
	for (const PathPart& part : _place.choice.parts)
	{
		stops.push_back(PathStop{targetOf(_place, part).record.address, part.layers});
	}
	return stops;
}

const FleetTarget* RequestPath::findByAddress(const Place& _place, const std::string& _address)
{
	for (const PathPart& part : _place.choice.parts)
	{
		if (_address == targetOf(_place, part).record.address)
		{
			return &targetOf(_place, part);
		}
	}
	return nullptr;
}

void RequestPath::passOver(const FleetTarget& _target)
{
	full_.erase(_target.record.life());
	failed_.insert(_target.record.life());
}

/// What failed it for another reason stays passed over.
void RequestPath::passOverUntil(const FleetTarget& _target, Time _until)
{
	const bool isNew = failed_.insert(_target.record.life()).second;
	if (isNew)
	{
		full_[_target.record.life()] = _until;
	}
}

void RequestPath::forgive(const FleetTarget& _target)
{
	failed_.erase(_target.record.life());
}

void RequestPath::forgiveFull()
{
	const Time now = context_.clock.now();
	for (auto row = full_.begin(); full_.end() != row;)
	{
		const bool isOver = row->second < now;
		if (isOver)
		{
			failed_.erase(row->first);
		}
		row = isOver ? full_.erase(row) : std::next(row);
	}
}

double RequestPath::tightestRoom() const
{
	constexpr bool kMoves = false;
	return sedgecart::tightestRoom(query(place_, failed_, kMoves), place_.choice);
}

std::string RequestPath::text() const
{
	std::string path;
	for (const PathPart& part : place_.choice.parts)
	{
		const FleetTarget& stop = targetOf(place_, part);
		path += path.empty() ? "" : ",";
		path += stop.record.instance.text + '/' + stop.record.hall + '/' + std::to_string(part.layers.begin) + '-' +
		        std::to_string(part.layers.end);
	}
	return path;
}

} // namespace sedgecart

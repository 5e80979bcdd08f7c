// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "requestpath_p.h"

#include "relayplan_p.h"

#include <base/clock.h>
#include <core/connectionshare.h>
#include <core/linkutilization.h>
#include <relay/targetratelimiter.h>

#include <algorithm>
#include <iterator>

namespace sedgecart
{

namespace
{

/// An answer is counted at its hinted length divided by this: it grows from zero, so half is its mean. Counting it at
/// full length would refuse requests while capacity is free. Counting the mean lets targets run out of memory at times,
/// and the prompts of the affected requests are then processed again, which costs less than the refusals.
constexpr uint64_t kMeanLengthDivisor = 2;

const FleetTarget& targetOf(const RequestPath::ChosenPath& _path, const PathStage& _stage)
{
	return _path.service->targets[_stage.candidate];
}

/// @returns the index of a target in a service, or the number of its targets if it is not among them.
uint32_t indexOf(const FleetService& _service, const TargetIncarnation& _target)
{
	const auto found = std::find_if(_service.targets.begin(), _service.targets.end(),
	                                [&_target](const FleetTarget& _one)
	                                {
		                                return _target == _one.record.incarnation();
	                                });
	return static_cast<uint32_t>(found - _service.targets.begin());
}

} // namespace

RequestPath::RequestPath(const RelayContext& _context, const RelayPlan& _plan)
    : context_(_context),
      plan_(_plan),
      streamRelease_(context_, plan_)
{
}

uint64_t RequestPath::reservedTokens() const
{
	const bool countMean = context_.mechanisms.isEnabled(Mechanism::MeanAnswer);
	return plan_.caller.promptTokens +
	       (countMean ? plan_.caller.hintedTokens / kMeanLengthDivisor : plan_.caller.hintedTokens);
}

const FleetTarget* RequestPath::headOf(const ChosenPath& _path)
{
	return _path.choice.stages.empty() ? nullptr : &targetOf(_path, _path.choice.stages.front());
}

/// Includes the head of the previous path: it identifies the request by its id and must not receive it twice.
RequestPath::Exclusions RequestPath::exclusions() const
{
	Exclusions excluded = excluded_;
	const FleetTarget* const kept = previous_ ? headOf(previous_->path) : nullptr;
	if (nullptr != kept)
	{
		excluded.insert(kept->record.incarnation());
	}
	return excluded;
}

/// Also excludes the head of the current path, for a send that runs beside the current one.
RequestPath::Exclusions RequestPath::exclusionsForAlternative() const
{
	Exclusions all = exclusions();
	const FleetTarget* const current = headOf(chosenPath_);
	if (nullptr != current)
	{
		all.insert(current->record.incarnation());
	}
	return all;
}

ChoiceQuery RequestPath::query(const ChosenPath& _path, const Exclusions& _excluded, bool _isReroute) const
{
	const auto tokens = static_cast<double>(reservedTokens());
	const Time now = context_.clock.now();
	const double linkUtilization = context_.link.total(now);
	return ChoiceQuery{*_path.service,      _excluded,       _path.nodes, tokens,         now,
	                   context_.mechanisms, linkUtilization, _isReroute,  _path.hallPeers};
}

/// Finds a path in the current fleet.
SendOutcome::Enum RequestPath::find(const Exclusions& _excluded, bool _isReroute, ChosenPath& _path) const
{
	{
		const RcuCell<FleetView>::Reader view(context_.cell.view);
		const auto row = view->services.find(plan_.service);
		_path.leadsToPeer = view->peers && isHandedOver();
		_path.service = view->services.end() == row ? nullptr : row->second;
		_path.service = _path.leadsToPeer ? view->peers : _path.service;
		_path.nodes = view->nodes;
		_path.hallPeers = view->hallPeers;
		_path.roster = view->roster;
	}
	untilOpen_.reset();
	shortage_.reset();
	if (!_path.service)
	{
		return SendOutcome::NoTargets;
	}
	const ClosedTargets closed = closedTargets(_path);
	ChoiceQuery wanted = query(_path, _excluded, _isReroute);
	wanted.closed = &closed.targets;
	const ServiceAccount* const account = _path.service->account.get();
	wanted.mayWait = plan_.isPrioritized && context_.mechanisms.isEnabled(Mechanism::UrgencyAdmission);
	wanted.startsInOwnHall = !_isReroute && nullptr != account && account->lease.isActive(wanted.now);
	const SendOutcome::Enum outcome = _path.service->spec->hasEngine
	                                      ? choosePath(wanted, context_.random, _path.choice)
	                                      : chooseTarget(wanted, context_.random, _path.choice);
	if (SendOutcome::NoCapacity == outcome)
	{
		shortage_ = shortageOf(wanted, context_.random);
	}
	if (SendOutcome::Started != outcome && closed.allClosed && closed.opensAt < RateGate::kNever)
	{
		untilOpen_ = closed.opensAt - wanted.now;
	}
	return outcome;
}

bool RequestPath::isHandedOver() const
{
	return !plan_.wasHandedOver && context_.cell.isCutOff.load(std::memory_order_relaxed) &&
	       context_.mechanisms.isEnabled(Mechanism::Handovers);
}

/// @returns the earliest time at which a target accepts a request of this node, by what it announced itself.
Time RequestPath::opensAt(const FleetTarget& _target, const ChosenPath& _path, Time _now) const
{
	if (context_.mechanisms.isEnabled(Mechanism::DrainNotice) && _target.load->draining.load(std::memory_order_relaxed))
	{
		return RateGate::kNever;
	}
	Time opensAt = _now;
	if (context_.mechanisms.isEnabled(Mechanism::RateLimits))
	{
		opensAt = context_.rates.opensAt(_target, _path.roster, _now);
	}
	if (context_.mechanisms.isEnabled(Mechanism::TargetBackoff))
	{
		opensAt = std::max(opensAt, Time{_target.load->backoffUntil.load(std::memory_order_relaxed)});
	}
	return opensAt;
}

RequestPath::ClosedTargets RequestPath::closedTargets(const ChosenPath& _path) const
{
	ClosedTargets closed{{}, RateGate::kNever, true};
	const Time now = context_.clock.now();
	for (const FleetTarget& target : _path.service->targets)
	{
		const bool isHead = 0 == target.record.layers.begin;
		const Time opens = opensAt(target, _path, now);
		if (now < opens)
		{
			closed.targets.insert(target.record.incarnation());
			closed.opensAt = isHead ? std::min(closed.opensAt, opens) : closed.opensAt;
		}
		else if (isHead)
		{
			closed.allClosed = false;
		}
	}
	return closed;
}

/// Counts the send against the rate limit of the path's head, and adds the stream to the expected releases.
void RequestPath::recordSend()
{
	context_.rates.onSent(head(), context_.clock.now());
	streamRelease_.onSent(*chosenPath_.service, reservedTokens());
}

/// Finds a path beside the current one. The request's own load on the current path is left out, since it is about to
/// leave that path: a stage that both paths share must not be considered full because of it.
SendOutcome::Enum RequestPath::findAlternative(bool _isReroute, ChosenPath& _path) const
{
	if (reservation_)
	{
		reservation_->release();
	}
	const SendOutcome::Enum outcome = find(exclusionsForAlternative(), _isReroute, _path);
	if (reservation_)
	{
		reservation_->reserve(*chosenPath_.service, chosenPath_.choice, reservedTokens());
	}
	return outcome;
}

uint32_t RequestPath::maxIdleConnections() const
{
	const uint32_t limit = chosenPath_.service->spec->maxConnections;
	return 0 == limit ? UINT32_MAX : ConnectionShare(limit, chosenPath_.nodes).guaranteed();
}

SendOutcome::Enum RequestPath::choose(bool _isReroute)
{
	ChosenPath path;
	const SendOutcome::Enum outcome = find(exclusions(), _isReroute, path);
	if (SendOutcome::Started == outcome)
	{
		chosenPath_ = std::move(path);
		reserveLoad();
		recordSend();
	}
	return outcome;
}

SendOutcome::Enum RequestPath::chooseAlternative(bool _isReroute)
{
	ChosenPath path;
	const SendOutcome::Enum outcome = findAlternative(_isReroute, path);
	if (SendOutcome::Started == outcome)
	{
		previous_ = std::make_unique<PreviousPath>(PreviousPath{std::move(chosenPath_), std::move(reservation_)});
		chosenPath_ = std::move(path);
		reserveLoad();
		recordSend();
	}
	return outcome;
}

void RequestPath::dropPrevious()
{
	previous_.reset();
}

void RequestPath::restorePrevious()
{
	chosenPath_ = std::move(previous_->path);
	reservation_ = std::move(previous_->reservation);
	previous_.reset();
	streamRelease_.restore();
}

bool RequestPath::hasAlternative(bool _isReroute) const
{
	ChosenPath path;
	return SendOutcome::Started == findAlternative(_isReroute, path);
}

/// Considers targets that were added since the request was sent, such as one that has just been assigned the layers of
/// an ended target. If the head is no longer in the current fleet because it is leaving, the fleet as of the previous
/// choice is used.
bool RequestPath::chooseRemainingStages(ChosenPath& _rest) const
{
	constexpr bool kIsReroute = true;
	const Exclusions excluded = exclusions();
	_rest = chosenPath_;
	{
		const RcuCell<FleetView>::Reader view(context_.cell.view);
		const auto row = view->services.find(plan_.service);
		const std::shared_ptr<const FleetService> now = view->services.end() == row ? nullptr : row->second;
		const uint32_t index = now ? indexOf(*now, head().record.incarnation()) : 0;
		if (now && index < now->targets.size())
		{
			_rest.service = now;
			_rest.nodes = view->nodes;
			_rest.hallPeers = view->hallPeers;
			_rest.choice.stages.resize(1); // only the head of the old path has an index in the new fleet
			_rest.choice.stages.front().candidate = index;
		}
	}
	const uint32_t crossings = hallCrossings(*chosenPath_.service, chosenPath_.choice);
	return sedgecart::chooseRemainingStages(query(_rest, excluded, kIsReroute), crossings, context_.random,
	                                        _rest.choice);
}

void RequestPath::switchTo(const ChosenPath& _path)
{
	chosenPath_ = _path;
	reserveLoad();
}

void RequestPath::reserveLoad()
{
	reservation_ = std::make_unique<LoadReservation>();
	reservation_->reserve(*chosenPath_.service, chosenPath_.choice, reservedTokens());
	if (hasEngine())
	{
		constexpr bool kIsReroute = false;
		context_.link.add(linkOccupancy(query(chosenPath_, excluded_, kIsReroute), chosenPath_.choice),
		                  context_.clock.now());
	}
}

void RequestPath::release()
{
	reservation_.reset();
	streamRelease_.release();
}

const FleetTarget& RequestPath::head() const
{
	return *headOf(chosenPath_);
}

std::vector<const FleetTarget*> RequestPath::targets() const
{
	std::vector<const FleetTarget*> targets;
	for (const PathStage& stage : chosenPath_.choice.stages)
	{
		targets.push_back(&targetOf(chosenPath_, stage));
	}
	return targets;
}

bool RequestPath::hasEngine() const
{
	return chosenPath_.service && chosenPath_.service->spec->hasEngine;
}

std::vector<StageEndpoint> RequestPath::stops() const
{
	return stopsOf(chosenPath_);
}

std::vector<StageEndpoint> RequestPath::stopsOf(const ChosenPath& _path)
{
	std::vector<StageEndpoint> stops;
	for (const PathStage& stage : _path.choice.stages)
	{
		stops.push_back(StageEndpoint{targetOf(_path, stage).record.address, stage.layers});
	}
	return stops;
}

const FleetTarget* RequestPath::findByAddress(const ChosenPath& _path, const std::string& _address)
{
	for (const PathStage& stage : _path.choice.stages)
	{
		if (_address == targetOf(_path, stage).record.address)
		{
			return &targetOf(_path, stage);
		}
	}
	return nullptr;
}

void RequestPath::exclude(const FleetTarget& _target)
{
	excludedUntil_.erase(_target.record.incarnation());
	excluded_.insert(_target.record.incarnation());
}

/// A target that is already excluded for another reason stays excluded.
void RequestPath::excludeUntil(const FleetTarget& _target, Time _until)
{
	const bool isNew = excluded_.insert(_target.record.incarnation()).second;
	if (isNew)
	{
		excludedUntil_[_target.record.incarnation()] = _until;
	}
}

void RequestPath::readmit(const FleetTarget& _target)
{
	excluded_.erase(_target.record.incarnation());
}

void RequestPath::readmitExpired()
{
	const Time now = context_.clock.now();
	for (auto row = excludedUntil_.begin(); excludedUntil_.end() != row;)
	{
		const bool isOver = row->second < now;
		if (isOver)
		{
			excluded_.erase(row->first);
		}
		row = isOver ? excludedUntil_.erase(row) : std::next(row);
	}
}

double RequestPath::peakUtilization() const
{
	constexpr bool kIsReroute = false;
	return sedgecart::peakUtilization(query(chosenPath_, excluded_, kIsReroute), chosenPath_.choice);
}

std::string RequestPath::text() const
{
	std::string path;
	for (const PathStage& stage : chosenPath_.choice.stages)
	{
		const FleetTarget& stop = targetOf(chosenPath_, stage);
		path += path.empty() ? "" : ",";
		path += stop.record.instance.text + '/' + stop.record.hall + '/' + std::to_string(stage.layers.begin) + '-' +
		        std::to_string(stage.layers.end);
	}
	return path;
}

} // namespace sedgecart

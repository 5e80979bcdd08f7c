// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "targetchooser_p.h"

#include <core/layoutplan.h>
#include <core/unheardload.h>

#include <algorithm>
#include <limits>

namespace sedgecart
{

namespace
{

/// A target of another hall counts as if it had so many requests more: the way there costs little time, but its traffic
/// is paid for.
constexpr double kOtherHallRequests = 0.6;

/// Extra of a target that failed a moment ago, requests: it is used when all others are as bad.
constexpr double kAvoidedRequests = 1000;

/// Price of a hop of activations in a hall, microseconds: its delay and the work of one more target.
constexpr double kHop = 500;

/// Price of a hop between halls, in times that a usual prompt takes the link which all share; a token takes next to
/// nothing. Others use the link as well: a hall that lacks one part borrows it only when the other halls are nearly
/// full.
constexpr double kLinkTimes = 1.6;

/// The same where the operator names no link, microseconds.
constexpr double kUnknownLink = 30000;

/// Price of the way to the first part, microseconds. To another hall only the request itself goes, some kilobytes, but
/// its stream is lost when the halls are cut from each other: another hall is used when its chain is half a step
/// faster.
constexpr HopCosts kEntry{0, 7000};

/// Part of a target's room beyond which it gets no more requests. Estimates of the answers' lengths are right in the
/// median only, so that the sum over some dozen requests is off by some percent.
constexpr double kFull = 0.95;

/// What a part costs beside its layers, microseconds: the fixed work of a step.
constexpr double kPartCost = 300;

/// Price of a head's slots, microseconds, to be multiplied as room is: some hops, so that heads of a hall share evenly.
constexpr double kLeadPrice = 5000;

/// Requests that leave a failed path at the same moment, at many nodes that cannot know of each other yet, spread over
/// heads by chance: a random price up to this, microseconds, some times what sets the halls' chains apart.
constexpr uint32_t kMoveSpread = 20000;

/// For what goes by the nodes' word alone.
const UnheardLoad kAllHeard(0);

/// Extra of a target that failed a moment ago, microseconds; more than any way around it.
constexpr double kAvoidedCost = 1e7;

bool isAvoided(const FleetTarget& _target, Time _now)
{
	return _now.micros < _target.load->avoidedUntil.load(std::memory_order_relaxed);
}

/// @returns true if a target failed the request, or if its record is known to be stale: a request that goes on chooses
/// from the fleet as it was when it was sent.
bool isPassedOver(const FleetTarget& _target, const ChoiceQuery& _query)
{
	return 0 < _query.failed.count(_target.record.life()) || _target.isStale(_query.now);
}

bool isClosed(const FleetTarget& _target, const ChoiceQuery& _query)
{
	return nullptr != _query.closed && 0 < _query.closed->count(_target.record.life());
}

double loadOf(const FleetTarget& _target, Time _now)
{
	const double requests = _target.load->requests.load(std::memory_order_relaxed);
	const double hall = kHomeHall == _target.hall ? 0 : kOtherHallRequests;
	return requests + hall + (isAvoided(_target, _now) ? kAvoidedRequests : 0);
}

/// @returns true if this node may have one more connection to the target.
bool hasConnection(const FleetTarget& _target, const ServiceSpec& _service, uint32_t _nodes)
{
	if (0 == _service.maxConnections)
	{
		return true;
	}
	const uint32_t share = std::max(1U, _service.maxConnections / std::max(1U, _nodes));
	return _target.load->requests.load(std::memory_order_relaxed) < share;
}

/// @returns the part of a target's slots that requests take with this one, by this node's and the others' word and what
/// is guessed of the others; above 1 when it has none left. A request that begins there takes a slot to its end; beyond
/// that they queue.
double slotsTaken(const FleetTarget& _target, const UnheardLoad& _unheard)
{
	if (0 == _target.record.slots)
	{
		return 0; // it names no bound
	}
	const uint32_t own = _target.load->requests.load(std::memory_order_relaxed);
	const uint32_t others = _target.load->othersRequests.load(std::memory_order_relaxed);
	const uint32_t heard = _target.load->heardRequests.load(std::memory_order_relaxed);
	return (own + others + 1 + _unheard.at(own, heard)) / _target.record.slots;
}

bool hasSlot(const FleetTarget& _target, const UnheardLoad& _unheard)
{
	return slotsTaken(_target, _unheard) <= 1;
}

/// @returns the part of a target's room that requests would take with this one; above 1 when they do not fit.
double roomTaken(const FleetTarget& _target, const ChoiceQuery& _query, const UnheardLoad& _unheard)
{
	if (nullptr == _target.card)
	{
		return 0;
	}
	const uint32_t layers = _target.record.layers.size();
	const double room = roomFor(_query.service.spec->engine, *_target.card, layers) * layers;
	const double own = static_cast<double>(_target.load->tokenLayers.load(std::memory_order_relaxed));
	const double others = static_cast<double>(_target.load->othersTokenLayers.load(std::memory_order_relaxed));
	const double heard = static_cast<double>(_target.load->heardTokenLayers.load(std::memory_order_relaxed));
	return room <= 0 ? 1 : (own + others + _unheard.at(own, heard) + _query.tokens * layers) / room;
}

/// @returns how much dearer a loaded target is than an idle one, as a multiple of its own time: little up to half of
/// its room, steep towards its end.
double loadPrice(double _taken)
{
	const double left = std::max(0.05, 1 - _taken);
	return 2 * _taken * _taken / left;
}

/// @returns true if a target takes no more requests for now.
bool isFull(const FleetTarget& _target, const ChoiceQuery& _query)
{
	const bool leads = 0 == _target.record.layers.begin;
	const bool mayLead = hasConnection(_target, *_query.service.spec, _query.nodes) && hasSlot(_target, kAllHeard) &&
	                     !isClosed(_target, _query);
	return kFull <= roomTaken(_target, _query, kAllHeard) || (leads && !mayLead);
}

PathCandidate candidateOf(const FleetTarget& _target, const ChoiceQuery& _query, const UnheardLoad& _unheard)
{
	const EngineSpec& engine = _query.service.spec->engine;
	PathCandidate candidate;
	candidate.hall = _target.hall;
	candidate.held = _target.record.layers;
	candidate.usable = nullptr != _target.card && !isPassedOver(_target, _query);
	candidate.mayLead = hasConnection(_target, *_query.service.spec, _query.nodes) && hasSlot(_target, _unheard) &&
	                    !isClosed(_target, _query);
	const double step = (nullptr == _target.card ? 1 : _target.card->stepFactor) * _target.load->pace();
	const bool slotsCount = _query.mechanisms.on(Mechanism::HeadSlots);
	candidate.costOfLead = slotsCount ? kLeadPrice * loadPrice(slotsTaken(_target, _unheard)) : 0;
	const double taken = roomTaken(_target, _query, _unheard);
	candidate.usable = candidate.usable && taken < kFull;
	candidate.costPerLayer = engine.stepMs * 1000 / engine.layers * step * (1 + loadPrice(taken));
	candidate.costOfPart = kPartCost + (isAvoided(_target, _query.now) ? kAvoidedCost : 0);
	return candidate;
}

/// @returns what the other nodes of the hall may have put on the service's targets since their last word.
UnheardLoad unheardOf(const ChoiceQuery& _query)
{
	if (!_query.mechanisms.on(Mechanism::UnheardLoads))
	{
		return kAllHeard;
	}
	UnheardLoad unheard(_query.hallPeers);
	for (const FleetTarget& target : _query.service.targets)
	{
		unheard.count(target.load->requests.load(std::memory_order_relaxed),
		              target.load->heardRequests.load(std::memory_order_relaxed));
	}
	return unheard;
}

std::vector<PathCandidate> candidatesOf(const ChoiceQuery& _query, const UnheardLoad& _unheard)
{
	std::vector<PathCandidate> candidates;
	candidates.reserve(_query.service.targets.size());
	for (const FleetTarget& target : _query.service.targets)
	{
		candidates.push_back(candidateOf(target, _query, _unheard));
	}
	return candidates;
}

/// @returns microseconds that so many tokens take the link between halls; 0 if the operator names none.
double crossingTime(const EngineSpec& _engine, double _tokens)
{
	constexpr double kBitsPerByte = 8; // bits over Mbit/s are microseconds
	const bool named = 0 < _engine.hallLinkMbps;
	return named ? _tokens * _engine.hopBytesPerToken * kBitsPerByte / _engine.hallLinkMbps : 0;
}

/// @returns true if the link between halls takes no more new requests: one more would only make the others late.
bool isLinkFull(const ChoiceQuery& _query)
{
	return _query.mechanisms.on(Mechanism::LinkBound) && 1 <= _query.linkTaken;
}

/// @returns the price of hops by what the operator says of the link between halls, and by how much of it is taken. A
/// request that moves may always cross: it has been worked on.
HopCosts hopCosts(const ChoiceQuery& _query)
{
	const EngineSpec& engine = _query.service.spec->engine;
	if (engine.hallLinkMbps <= 0)
	{
		return HopCosts{kHop, kUnknownLink};
	}
	if (!_query.moves && isLinkFull(_query))
	{
		return HopCosts{kHop, std::numeric_limits<double>::infinity()};
	}
	return HopCosts{kHop, kHop + kLinkTimes * crossingTime(engine, engine.usualPromptTokens)};
}

PathQuery pathQuery(const ChoiceQuery& _query)
{
	PathQuery query;
	query.layers = _query.service.spec->engine.layers;
	query.halls = _query.service.halls;
	query.homeHall = kHomeHall;
	query.entry = kEntry;
	query.hops = hopCosts(_query);
	return query;
}

bool findSpreadPath(const ChoiceQuery& _query, const UnheardLoad& _unheard, RandomI& _random, Choice& _choice)
{
	std::vector<PathCandidate> candidates = candidatesOf(_query, _unheard);
	const bool spread = _query.moves && _query.mechanisms.on(Mechanism::MoveSpread);
	for (std::size_t index = 0; spread && index < candidates.size(); ++index)
	{
		candidates[index].costOfLead += static_cast<double>(_random.below(kMoveSpread));
	}
	return findPath(candidates, pathQuery(_query), _choice.parts);
}

} // namespace

SendOutcome::Enum chooseTarget(const ChoiceQuery& _query, RandomI& _random, Choice& _choice)
{
	const std::vector<FleetTarget>& targets = _query.service.targets;
	double least = std::numeric_limits<double>::infinity();
	uint32_t ties = 0;
	bool any = false;
	_choice.parts.assign(1, PathPart{});
	for (uint32_t index = 0; index < targets.size(); ++index)
	{
		if (isPassedOver(targets[index], _query))
		{
			continue;
		}
		any = true;
		if (!hasConnection(targets[index], *_query.service.spec, _query.nodes) || isClosed(targets[index], _query))
		{
			continue;
		}
		const double load = loadOf(targets[index], _query.now);
		ties = load < least ? 1 : ties + (load == least ? 1 : 0);
		if (load < least || (load == least && 0 == _random.below(ties)))
		{
			least = load;
			_choice.parts.front().candidate = index;
		}
	}
	if (0 < ties)
	{
		return SendOutcome::Begun;
	}
	return any ? SendOutcome::NoRoom : SendOutcome::NoTargets;
}

/// A guess moves requests to where others are not guessed to be; it never refuses one.
SendOutcome::Enum choosePath(const ChoiceQuery& _query, RandomI& _random, Choice& _choice)
{
	const UnheardLoad unheard = unheardOf(_query);
	if (findSpreadPath(_query, unheard, _random, _choice) ||
	    (!unheard.isNothing() && findSpreadPath(_query, kAllHeard, _random, _choice)))
	{
		return SendOutcome::Begun;
	}
	const std::vector<FleetTarget>& targets = _query.service.targets;
	const bool full = std::any_of(targets.begin(), targets.end(),
	                              [&_query](const FleetTarget& _target)
	                              {
		                              return isFull(_target, _query);
	                              });
	return full || isLinkFull(_query) ? SendOutcome::NoRoom : SendOutcome::NoTargets;
}

Duration linkTime(const ChoiceQuery& _query, const Choice& _choice)
{
	const uint32_t crossings = hallCrossings(_query.service, _choice);
	return Duration{static_cast<int64_t>(crossings * crossingTime(_query.service.spec->engine, _query.tokens))};
}

double tightestRoom(const ChoiceQuery& _query, const Choice& _choice)
{
	double most = 0;
	for (const PathPart& part : _choice.parts)
	{
		most = std::max(most, roomTaken(_query.service.targets[part.candidate], _query, kAllHeard));
	}
	return most;
}

uint32_t hallCrossings(const FleetService& _service, const Choice& _choice)
{
	uint32_t crossings = 0;
	for (std::size_t index = 1; index < _choice.parts.size(); ++index)
	{
		const FleetTarget& before = _service.targets[_choice.parts[index - 1].candidate];
		const FleetTarget& after = _service.targets[_choice.parts[index].candidate];
		crossings += before.hall == after.hall ? 0 : 1;
	}
	return crossings;
}

bool chooseRest(const ChoiceQuery& _query, uint32_t _crossings, Choice& _choice)
{
	const PathPart head = _choice.parts.front();
	std::vector<PathCandidate> candidates = candidatesOf(_query, unheardOf(_query));
	candidates[head.candidate].usable = false; // a target has one part of a path
	PathQuery query = pathQuery(_query);
	query.firstLayer = head.layers.end;
	query.homeHall = _query.service.targets[head.candidate].hall;
	std::vector<PathPart> rest;
	if (!findPath(candidates, query, rest) || kMostParts <= rest.size())
	{
		return false;
	}
	_choice.parts.assign(1, head);
	_choice.parts.insert(_choice.parts.end(), rest.begin(), rest.end());
	return hallCrossings(_query.service, _choice) <= _crossings;
}

} // namespace sedgecart

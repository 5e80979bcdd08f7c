// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "targetchooser_p.h"

#include <core/connectionshare.h>
#include <core/layoutplan.h>
#include <core/loadshare.h>
#include <core/reportschedule.h>
#include <core/unreportedload.h>

#include <algorithm>
#include <limits>

namespace sedgecart
{

namespace
{

/// Penalty of a target in another hall, as additional requests: the network path costs little time, but its traffic is
/// billed.
constexpr double kOtherHallPenalty = 0.6;

/// Penalty of a target that failed recently, as additional requests: it is used only if all others are as bad.
constexpr double kAvoidedPenalty = 1000;

/// Cost of an activation hop within a hall, microseconds: network delay plus the overhead of one more target.
constexpr double kHopCost = 500;

/// Cost of a hop between halls, as a multiple of the time that a typical prompt occupies the shared link; a generated
/// token takes next to nothing. Since other requests use the link as well, a hall that lacks a stage borrows it from
/// another hall only when the other halls are nearly full.
constexpr double kLinkCostFactor = 1.6;

/// Cost of a hop between halls if the operator has configured no link speed, microseconds.
constexpr double kUnknownLinkCost = 30000;

/// Cost of reaching the head, microseconds: nothing within this hall. Only the request itself, some kilobytes, goes to
/// another hall, but its stream is lost if the halls are partitioned, so another hall is used only if its chain is half
/// a step faster.
constexpr HopCosts kEntryCosts{0, 7000};

/// Capacity utilization above which a target gets no more requests. Estimated answer lengths are right only in the
/// median, so the sum over some dozen requests is off by some percent.
constexpr double kMaxUtilization = 0.95;

/// Fixed cost of a stage, independent of its layers, microseconds: the constant overhead of a step.
constexpr double kStageCost = 300;

/// Cost of a head's slots, microseconds, multiplied by `congestionFactor` like the cost of layers. Amounts to several
/// hops, so that the heads of a hall share requests evenly.
constexpr double kHeadSlotCost = 5000;

/// Upper bound of a random cost, microseconds, that spreads rerouted requests over heads: many nodes leave a failed
/// path at the same moment and cannot know of each other yet. It is several times the cost difference between the
/// halls' chains.
constexpr uint32_t kRerouteSpread = 20000;

/// For decisions based on reported load alone.
const UnreportedLoad kNoUnreportedLoad(0);

/// Penalty of a target that failed recently, microseconds; more than any path around it costs.
constexpr double kAvoidedCost = 1e7;

bool isAvoided(const FleetTarget& _target, Time _now)
{
	const TargetLoad& load = *_target.load;
	return load.leftOut.load(std::memory_order_relaxed) ||
	       _now.micros < load.avoidedUntil.load(std::memory_order_relaxed);
}

/// @returns true if a target is excluded for the request, or its record is known to be outdated, which happens because
/// a request may be rerouted within the fleet as it was when it was sent.
bool isExcluded(const FleetTarget& _target, const ChoiceQuery& _query)
{
	return 0 < _query.excluded.count(_target.record.incarnation()) || _target.isOutdated(_query.now);
}

bool isClosed(const FleetTarget& _target, const ChoiceQuery& _query)
{
	return nullptr != _query.closed && 0 < _query.closed->count(_target.record.incarnation());
}

double loadOf(const FleetTarget& _target, Time _now)
{
	const double requests = _target.load->requests.load(std::memory_order_relaxed);
	const double hall = kHomeHall == _target.hall ? 0 : kOtherHallPenalty;
	return requests + hall + (isAvoided(_target, _now) ? kAvoidedPenalty : 0);
}

/// @returns the random number that decides whether the node may add a request to a target that it has less than a
/// request's share of. A new one is drawn as often as loads are reported.
double shareDraw(TargetLoad& _load, Time _now, RandomI& _random)
{
	constexpr uint32_t kDrawSteps = 1U << 20;
	if (_load.shareDrawnUntil.load(std::memory_order_relaxed) <= _now.micros)
	{
		_load.shareDraw.store(static_cast<double>(_random.below(kDrawSteps)) / kDrawSteps, std::memory_order_relaxed);
		_load.shareDrawnUntil.store((_now + ReportSchedule::kStep).micros, std::memory_order_relaxed);
	}
	return _load.shareDraw.load(std::memory_order_relaxed);
}

/// @returns true if this node may have one more connection to the target.
bool hasFreeConnection(const FleetTarget& _target, const ChoiceQuery& _query, RandomI& _random)
{
	TargetLoad& load = *_target.load;
	const ConnectionShare share(_query.service.spec->maxConnections, _query.nodes);
	ConnectionUse use;
	use.own = load.requests.load(std::memory_order_relaxed);
	use.ownReported = load.reportedRequests.load(std::memory_order_relaxed);
	use.others = load.remoteRequests.load(std::memory_order_relaxed);
	return use.own < share.guaranteed() || share.admits(use, shareDraw(load, _query.now, _random));
}

/// @returns the utilization of a target's slots with this request included, from this node's load, the reported load of
/// the others and the estimate of their unreported load; above 1 if no slot is free. A request occupies a slot of its
/// head until it ends; requests beyond the slots queue there.
double slotUtilization(const FleetTarget& _target, const UnreportedLoad& _unreported)
{
	if (0 == _target.record.slots)
	{
		return 0; // it announces no limit
	}
	const uint32_t own = _target.load->requests.load(std::memory_order_relaxed);
	const uint32_t others = _target.load->remoteRequests.load(std::memory_order_relaxed);
	const uint32_t reported = _target.load->reportedRequests.load(std::memory_order_relaxed);
	return (own + others + 1 + _unreported.estimate(own, reported)) / _target.record.slots;
}

bool hasFreeSlot(const FleetTarget& _target, const UnreportedLoad& _unreported)
{
	return slotUtilization(_target, _unreported) <= 1;
}

/// @returns the utilization of a target's capacity with this request included; above 1 if it does not fit.
double capacityUtilization(const FleetTarget& _target, const ChoiceQuery& _query, const UnreportedLoad& _unreported)
{
	if (nullptr == _target.accelerator)
	{
		return 0;
	}
	const uint32_t layers = _target.record.layers.size();
	const double capacity = capacityFor(_query.service.spec->engine, *_target.accelerator, layers) * layers;
	const double own = static_cast<double>(_target.load->tokenLayers.load(std::memory_order_relaxed));
	const double others = static_cast<double>(_target.load->remoteTokenLayers.load(std::memory_order_relaxed));
	const double reported = static_cast<double>(_target.load->reportedTokenLayers.load(std::memory_order_relaxed));
	return capacity <= 0 ? 1 : (own + others + _unreported.estimate(own, reported) + _query.tokens * layers) / capacity;
}

/// @returns the additional cost of a loaded target over an idle one, as a multiple of its own time: low up to half
/// utilization, steep near full.
double congestionFactor(double _utilization)
{
	const double left = std::max(0.05, 1 - _utilization);
	return 2 * _utilization * _utilization / left;
}

/// @returns true if a target accepts no more requests for now.
bool isFull(const FleetTarget& _target, const ChoiceQuery& _query, RandomI& _random)
{
	const bool isHead = 0 == _target.record.layers.begin;
	const bool mayLead = hasFreeConnection(_target, _query, _random) && hasFreeSlot(_target, kNoUnreportedLoad) &&
	                     !isClosed(_target, _query);
	return kMaxUtilization <= capacityUtilization(_target, _query, kNoUnreportedLoad) || (isHead && !mayLead);
}

PathCandidate candidateOf(const FleetTarget& _target, const ChoiceQuery& _query, const UnreportedLoad& _unreported,
                          RandomI& _random)
{
	const EngineSpec& engine = _query.service.spec->engine;
	PathCandidate candidate;
	candidate.hall = _target.hall;
	candidate.held = _target.record.layers;
	candidate.usable = nullptr != _target.accelerator && !isExcluded(_target, _query);
	candidate.mayBeHead =
	    hasFreeConnection(_target, _query, _random) && hasFreeSlot(_target, _unreported) && !isClosed(_target, _query);
	const double step =
	    (nullptr == _target.accelerator ? 1 : _target.accelerator->stepFactor) * _target.load->slowdown();
	const bool slotsCount = _query.mechanisms.isEnabled(Mechanism::HeadSlots);
	candidate.headCost = slotsCount ? kHeadSlotCost * congestionFactor(slotUtilization(_target, _unreported)) : 0;
	const double utilization = capacityUtilization(_target, _query, _unreported);
	candidate.usable = candidate.usable && utilization < kMaxUtilization;
	candidate.costPerLayer = engine.stepMs * 1000 / engine.layers * step * (1 + congestionFactor(utilization));
	candidate.stageCost = kStageCost + (isAvoided(_target, _query.now) ? kAvoidedCost : 0);
	return candidate;
}

/// @returns an estimate of the load that the other nodes of the hall have put on the service's targets since their last
/// report.
UnreportedLoad unreportedLoadOf(const ChoiceQuery& _query)
{
	if (!_query.mechanisms.isEnabled(Mechanism::UnheardLoads))
	{
		return kNoUnreportedLoad;
	}
	UnreportedLoad unreported(_query.hallPeers);
	for (const FleetTarget& target : _query.service.targets)
	{
		unreported.add(target.load->requests.load(std::memory_order_relaxed),
		               target.load->reportedRequests.load(std::memory_order_relaxed));
	}
	return unreported;
}

std::vector<PathCandidate> candidatesOf(const ChoiceQuery& _query, const UnreportedLoad& _unreported, RandomI& _random)
{
	std::vector<PathCandidate> candidates;
	candidates.reserve(_query.service.targets.size());
	for (const FleetTarget& target : _query.service.targets)
	{
		candidates.push_back(candidateOf(target, _query, _unreported, _random));
	}
	return candidates;
}

/// @returns microseconds that the activations of so many tokens occupy the link between halls; 0 if no link speed is
/// configured.
double crossingTime(const EngineSpec& _engine, double _tokens)
{
	constexpr double kBitsPerByte = 8; // bits divided by Mbit/s give microseconds
	const bool named = 0 < _engine.hallLinkMbps;
	return named ? _tokens * _engine.hopBytesPerToken * kBitsPerByte / _engine.hallLinkMbps : 0;
}

/// @returns true if the link between halls is saturated: one more request would only delay the others.
bool isLinkFull(const ChoiceQuery& _query)
{
	return _query.mechanisms.isEnabled(Mechanism::LinkBound) && 1 <= _query.linkUtilization;
}

/// @returns the cost of hops, from the configured speed of the link between halls and its utilization. A rerouted
/// request may always cross, since work has already been spent on it.
HopCosts hopCosts(const ChoiceQuery& _query)
{
	const EngineSpec& engine = _query.service.spec->engine;
	if (engine.hallLinkMbps <= 0)
	{
		return HopCosts{kHopCost, kUnknownLinkCost};
	}
	if (!_query.isReroute && isLinkFull(_query))
	{
		return HopCosts{kHopCost, std::numeric_limits<double>::infinity()};
	}
	return HopCosts{kHopCost, kHopCost + kLinkCostFactor * crossingTime(engine, engine.usualPromptTokens)};
}

PathQuery pathQuery(const ChoiceQuery& _query)
{
	PathQuery query;
	query.layers = _query.service.spec->engine.layers;
	query.halls = _query.service.halls;
	query.homeHall = kHomeHall;
	query.entry = kEntryCosts;
	query.hops = hopCosts(_query);
	return query;
}

/// @returns true if this node's shares of the target's free memory and, at the head, of its free slots allow one more
/// request.
bool isWithinShare(const FleetTarget& _target, const ChoiceQuery& _query, RandomI& _random)
{
	if (nullptr == _target.accelerator)
	{
		return false;
	}
	TargetLoad& load = *_target.load;
	const LoadShare share(kHomeHall == _target.hall ? _query.hallPeers + 1 : _query.nodes);
	const double draw = shareDraw(load, _query.now, _random);
	const uint32_t layers = _target.record.layers.size();
	const double capacity = capacityFor(_query.service.spec->engine, *_target.accelerator, layers) * layers;
	const auto own = static_cast<double>(load.tokenLayers.load(std::memory_order_relaxed));
	const auto reported = static_cast<double>(load.reportedTokenLayers.load(std::memory_order_relaxed));
	const auto others = static_cast<double>(load.remoteTokenLayers.load(std::memory_order_relaxed));
	const double free = kMaxUtilization * capacity - reported - others;
	if (!share.admits(free, own - reported, _query.tokens * layers, draw))
	{
		return false;
	}
	if (0 != _target.record.layers.begin || 0 == _target.record.slots)
	{
		return true;
	}
	const double ownRequests = load.requests.load(std::memory_order_relaxed);
	const double reportedRequests = load.reportedRequests.load(std::memory_order_relaxed);
	const double otherRequests = load.remoteRequests.load(std::memory_order_relaxed);
	const double freeSlots = _target.record.slots - reportedRequests - otherRequests;
	return share.admits(freeSlots, ownRequests - reportedRequests, 1, draw);
}

/// @returns true if the node's load on each target is bounded by its share: for new requests, which can wait.
bool usesShares(const ChoiceQuery& _query)
{
	return _query.mayWait && !_query.isReroute && nullptr != _query.service.account &&
	       _query.mechanisms.isEnabled(Mechanism::LoadShares);
}

/// @param _anyHall the path may begin in another hall.
bool findSpreadPath(const ChoiceQuery& _query, const UnreportedLoad& _unreported, bool _anyHall, RandomI& _random,
                    Choice& _choice)
{
	std::vector<PathCandidate> candidates = candidatesOf(_query, _unreported, _random);
	for (PathCandidate& candidate : candidates)
	{
		candidate.mayBeHead = candidate.mayBeHead && (_anyHall || kHomeHall == candidate.hall);
	}
	for (std::size_t index = 0; usesShares(_query) && index < candidates.size(); ++index)
	{
		candidates[index].usable =
		    candidates[index].usable && isWithinShare(_query.service.targets[index], _query, _random);
	}
	const bool spread = _query.isReroute && _query.mechanisms.isEnabled(Mechanism::MoveSpread);
	for (std::size_t index = 0; spread && index < candidates.size(); ++index)
	{
		candidates[index].headCost += static_cast<double>(_random.below(kRerouteSpread));
	}
	return findPath(candidates, pathQuery(_query), _choice.stages);
}

/// The estimate of unreported load counts only while there is a path in spite of it.
bool findAnyPath(const ChoiceQuery& _query, bool _anyHall, RandomI& _random, Choice& _choice)
{
	const UnreportedLoad unreported = unreportedLoadOf(_query);
	return findSpreadPath(_query, unreported, _anyHall, _random, _choice) ||
	       (!unreported.isZero() && findSpreadPath(_query, kNoUnreportedLoad, _anyHall, _random, _choice));
}

} // namespace

SendOutcome::Enum chooseTarget(const ChoiceQuery& _query, RandomI& _random, Choice& _choice)
{
	const std::vector<FleetTarget>& targets = _query.service.targets;
	double least = std::numeric_limits<double>::infinity();
	uint32_t ties = 0;
	bool any = false;
	_choice.stages.assign(1, PathStage{});
	for (uint32_t index = 0; index < targets.size(); ++index)
	{
		if (isExcluded(targets[index], _query))
		{
			continue;
		}
		any = true;
		if (!hasFreeConnection(targets[index], _query, _random) || isClosed(targets[index], _query))
		{
			continue;
		}
		const double load = loadOf(targets[index], _query.now);
		ties = load < least ? 1 : ties + (load == least ? 1 : 0);
		if (load < least || (load == least && 0 == _random.below(ties)))
		{
			least = load;
			_choice.stages.front().candidate = index;
		}
	}
	if (0 < ties)
	{
		return SendOutcome::Started;
	}
	return any ? SendOutcome::NoCapacity : SendOutcome::NoTargets;
}

/// Estimated load only steers requests to other targets; a request is never refused because of an estimate.
SendOutcome::Enum choosePath(const ChoiceQuery& _query, RandomI& _random, Choice& _choice)
{
	constexpr bool kAnyHall = true;
	if ((_query.startsInOwnHall && findAnyPath(_query, !kAnyHall, _random, _choice)) ||
	    findAnyPath(_query, kAnyHall, _random, _choice))
	{
		return SendOutcome::Started;
	}
	const std::vector<FleetTarget>& targets = _query.service.targets;
	const bool full = std::any_of(targets.begin(), targets.end(),
	                              [&_query, &_random](const FleetTarget& _target)
	                              {
		                              return isFull(_target, _query, _random);
	                              });
	return full || isLinkFull(_query) ? SendOutcome::NoCapacity : SendOutcome::NoTargets;
}

CapacityShortage shortageOf(const ChoiceQuery& _query, RandomI& _random)
{
	CapacityShortage shortage;
	shortage.linkFull = isLinkFull(_query);
	for (const FleetTarget& target : _query.service.targets)
	{
		if (isExcluded(target, _query))
		{
			continue;
		}
		const bool isEngine = _query.service.spec->hasEngine;
		const bool hasMemory = !isEngine || capacityUtilization(target, _query, kNoUnreportedLoad) < kMaxUtilization;
		shortage.noMemory += hasMemory ? 0 : 1;
		if (isEngine && 0 != target.record.layers.begin)
		{
			continue;
		}
		++shortage.heads;
		shortage.noConnection += hasFreeConnection(target, _query, _random) ? 0 : 1;
		shortage.noSlot += !isEngine || hasFreeSlot(target, kNoUnreportedLoad) ? 0 : 1;
		shortage.closed += isClosed(target, _query) ? 1 : 0;
	}
	return shortage;
}

Duration linkOccupancy(const ChoiceQuery& _query, const Choice& _choice)
{
	const uint32_t crossings = hallCrossings(_query.service, _choice);
	return Duration{static_cast<int64_t>(crossings * crossingTime(_query.service.spec->engine, _query.tokens))};
}

double peakUtilization(const ChoiceQuery& _query, const Choice& _choice)
{
	double highest = 0;
	for (const PathStage& stage : _choice.stages)
	{
		highest =
		    std::max(highest, capacityUtilization(_query.service.targets[stage.candidate], _query, kNoUnreportedLoad));
	}
	return highest;
}

uint32_t hallCrossings(const FleetService& _service, const Choice& _choice)
{
	uint32_t crossings = 0;
	for (std::size_t index = 1; index < _choice.stages.size(); ++index)
	{
		const FleetTarget& before = _service.targets[_choice.stages[index - 1].candidate];
		const FleetTarget& after = _service.targets[_choice.stages[index].candidate];
		crossings += before.hall == after.hall ? 0 : 1;
	}
	return crossings;
}

bool chooseRemainingStages(const ChoiceQuery& _query, uint32_t _crossings, RandomI& _random, Choice& _choice)
{
	const PathStage head = _choice.stages.front();
	std::vector<PathCandidate> candidates = candidatesOf(_query, unreportedLoadOf(_query), _random);
	candidates[head.candidate].usable = false; // a target runs only one stage of a path
	PathQuery query = pathQuery(_query);
	query.firstLayer = head.layers.end;
	query.homeHall = _query.service.targets[head.candidate].hall;
	std::vector<PathStage> rest;
	if (!findPath(candidates, query, rest) || kMaxStages <= rest.size())
	{
		return false;
	}
	_choice.stages.assign(1, head);
	_choice.stages.insert(_choice.stages.end(), rest.begin(), rest.end());
	return hallCrossings(_query.service, _choice) <= _crossings;
}

} // namespace sedgecart

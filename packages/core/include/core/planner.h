// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_CORE_PLANNER_H_HEADER_GUARD
#define SEDGECART_CORE_PLANNER_H_HEADER_GUARD

#include <base/chain.h>
#include <base/handle.h>
#include <base/units.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace sedgecart
{

class RandomI;
class TargetBoard;
struct RouteView;
struct Snapshot;

/// Properties of the request that a chain is planned for.
struct PlanRequest
{
	uint32_t tokens = 1; //!< Tokens still to be generated.
	uint32_t promptTokens = 0;
	uint64_t prefixHash = 0;            //!< Hash of the prompt's beginning, for cache affinity; 0: none.
	std::vector<TargetHandle> excluded; //!< Targets that failed this request.
	std::vector<TargetHandle> warm;     //!< Targets that hold its KV cache already.
	Time now;
	Time deadline; //!< Chains that would finish later count as full, so that the caller waits; 0: no deadline.
};

/// Whether a chain was found, and if not, why.
struct PlanOutcome
{
	enum Enum
	{
		Found,
		NoTargets, //!< No live target holds some of the layers.
		NoSlots,   //!< Live targets cover the layers, but their slots are taken.

		Count
	};
};

/// A chain, or the reason why none was found.
struct Plan
{
	PlanOutcome::Enum outcome = PlanOutcome::NoTargets;
	Chain chain;
};

/// Strategies to choose a chain. All but the first are baselines for measurements.
struct PlannerKind
{
	enum Enum
	{
		EarliestFinish,
		Random,
		RoundRobin,
		LeastInFlight,

		Count
	};
};

/// Chooses the chain for a request. Thread-safe if every thread passes its own random number generator.
class PlannerI
{
public:
	virtual ~PlannerI() = default;

	/// @returns a chain whose stages all had a free slot when they were checked. No slot is reserved.
	virtual Plan plan(const Snapshot& _snapshot, const RouteView& _route, const TargetBoard& _board,
	                  const PlanRequest& _request, RandomI& _random) = 0;
};

/// @returns a planner of that kind.
std::unique_ptr<PlannerI> makePlanner(PlannerKind::Enum _kind);

/// @returns "earliest-finish" and so on.
const char* nameOf(PlannerKind::Enum _kind);

/// @returns true if this node may send one more request to the target: both the node's limit and the target's slots
/// allow it.
bool hasSlot(const TargetBoard& _board, TargetHandle _target, uint32_t _slots);

} // namespace sedgecart

#endif // SEDGECART_CORE_PLANNER_H_HEADER_GUARD

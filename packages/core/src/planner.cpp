// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <core/planner.h>

#include "stagechooser_p.h"

#include <core/snapshot.h>
#include <core/targetboard.h>

#include <algorithm>

namespace sedgecart
{

namespace
{

constexpr const char* kPlannerNames[] = {"earliest-finish", "random", "round-robin", "least-in-flight"};
static_assert(PlannerKind::Count == sizeof(kPlannerNames) / sizeof(kPlannerNames[0]), "each kind needs its name");

/// A chain under construction.
struct Draft
{
	PlanOutcome::Enum outcome = PlanOutcome::NoTargets;
	std::vector<uint32_t> targets;
	int64_t costMicros = 0;
	int64_t gapMicros = 0;
};

ChainStage stageOf(const Snapshot& _snapshot, const TargetView& _target, LayerRange _layers)
{
	ChainStage stage;
	stage.target = _target.handle;
	stage.name = _target.spec.name;
	stage.address = _target.spec.address;
	stage.hall = _snapshot.halls[_target.hall.index];
	stage.layers = _layers;
	stage.slots = _target.spec.slots;
	return stage;
}

/// Plans a chain for each cover and returns the cheapest.
class CoverPlanner : public PlannerI
{
public:
	explicit CoverPlanner(PlannerKind::Enum _kind)
	    : chooser_(makeStageChooser(_kind)),
	      checksDeadline_(PlannerKind::EarliestFinish == _kind)
	{
	}

	Plan plan(const Snapshot& _snapshot, const RouteView& _route, const TargetBoard& _board,
	          const PlanRequest& _request, RandomI& _random) override
	{
		const PlanContext context{_snapshot, _board, _request, _random};
		Draft best;
		const Cover* bestCover = nullptr;
		for (const Cover& cover : _route.covers)
		{
			Draft draft = draftCover(context, _route, cover);
			const bool found = PlanOutcome::Found == draft.outcome;
			if (found && (nullptr == bestCover || draft.costMicros < best.costMicros))
			{
				best = std::move(draft);
				bestCover = &cover;
			}
			else if (nullptr == bestCover && PlanOutcome::NoSlots == draft.outcome)
			{
				best.outcome = PlanOutcome::NoSlots;
			}
		}
		return nullptr == bestCover ? Plan{best.outcome, {}} : finish(_snapshot, _route, *bestCover, best);
	}

private:
	Draft draftCover(const PlanContext& _context, const RouteView& _route, const Cover& _cover)
	{
		Draft draft;
		HallHandle from = _context.snapshot.ownHall;
		for (const uint32_t group : _cover.groups)
		{
			const StageChoice choice = chooser_->choose(_context, _route.groups[group], from);
			if (PlanOutcome::Found != choice.outcome)
			{
				draft.outcome = choice.outcome;
				return draft;
			}
			draft.targets.push_back(choice.target);
			draft.costMicros += choice.costMicros;
			draft.gapMicros += choice.gapMicros;
			from = _context.snapshot.targets[choice.target].hall;
		}
		draft.outcome = meetsDeadline(_context.request, draft) ? PlanOutcome::Found : PlanOutcome::NoSlots;
		return draft;
	}

	/// A request had better wait for a faster chain, or be rejected for a later retry, than take a slot on a chain that
	/// cannot meet its deadline.
	bool meetsDeadline(const PlanRequest& _request, const Draft& _draft) const
	{
		const Duration expected{_draft.gapMicros * std::max(1U, _request.tokens)};
		return !checksDeadline_ || 0 == _request.deadline.micros || _request.now + expected < _request.deadline;
	}

	static Plan finish(const Snapshot& _snapshot, const RouteView& _route, const Cover& _cover, const Draft& _draft)
	{
		Plan plan;
		plan.outcome = PlanOutcome::Found;
		plan.chain.tokenGap = Duration{_draft.gapMicros};
		for (std::size_t index = 0; index < _draft.targets.size(); ++index)
		{
			const StageGroup& group = _route.groups[_cover.groups[index]];
			plan.chain.stages.push_back(stageOf(_snapshot, _snapshot.targets[_draft.targets[index]], group.layers));
		}
		return plan;
	}

	std::unique_ptr<StageChooserI> chooser_;
	bool checksDeadline_; //!< False for the baselines.
};

} // namespace

std::unique_ptr<PlannerI> makePlanner(PlannerKind::Enum _kind)
{
	return std::make_unique<CoverPlanner>(_kind);
}

const char* nameOf(PlannerKind::Enum _kind)
{
	return kPlannerNames[_kind];
}

bool hasSlot(const TargetBoard& _board, TargetHandle _target, uint32_t _slots)
{
	constexpr uint32_t kMilli = 1000;
	const TargetCounters& counters = _board.at(_target);
	const uint32_t own = counters.inFlight.load(std::memory_order_relaxed);
	const uint32_t limit = counters.limitMilli.load(std::memory_order_relaxed);
	const bool underLimit = 0 == limit || own * kMilli + kMilli <= limit;
	return underLimit && _board.load(_target) < _slots;
}

} // namespace sedgecart

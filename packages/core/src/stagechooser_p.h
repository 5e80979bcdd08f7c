// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_CORE_STAGECHOOSER_P_H_HEADER_GUARD
#define SEDGECART_CORE_STAGECHOOSER_P_H_HEADER_GUARD

#include <base/handle.h>
#include <core/planner.h>
#include <core/snapshot.h>

namespace sedgecart
{

/// Input of one planning.
struct PlanContext
{
	const Snapshot& snapshot;
	const TargetBoard& board;
	const PlanRequest& request;
	RandomI& random;
};

/// A target for one stage, or the reason why none was found.
struct StageChoice
{
	PlanOutcome::Enum outcome = PlanOutcome::NoTargets;
	uint32_t target = 0;    //!< Index into Snapshot::targets.
	int64_t costMicros = 0; //!< Time for all requested tokens.
	int64_t gapMicros = 0;  //!< Time for one token.
};

/// Chooses the target of one stage.
class StageChooserI
{
public:
	virtual ~StageChooserI() = default;

	/// @param _from hall from which the activations are sent.
	virtual StageChoice choose(const PlanContext& _context, const StageGroup& _group, HallHandle _from) = 0;
};

/// Whether a target may accept the request now.
struct Fitness
{
	enum Enum
	{
		Unfit, //!< Ejected, leaving, without fresh reports, without the layers, or excluded.
		Full,  //!< No free slot.
		Fit,

		Count
	};
};

/// @returns whether the target may accept the request now.
Fitness::Enum fitnessOf(const PlanContext& _context, const TargetView& _target);

/// @returns the stage chooser for a strategy.
std::unique_ptr<StageChooserI> makeStageChooser(PlannerKind::Enum _kind);

} // namespace sedgecart

#endif // SEDGECART_CORE_STAGECHOOSER_P_H_HEADER_GUARD

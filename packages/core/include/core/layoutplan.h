// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_CORE_LAYOUTPLAN_H_HEADER_GUARD
#define SEDGECART_CORE_LAYOUTPLAN_H_HEADER_GUARD

#include <base/desiredstate.h>
#include <base/runner.h>

#include <cstdint>
#include <vector>

namespace sedgecart
{

/// A target as the planner of layouts sees it.
struct LayoutTarget
{
	uint32_t hall = 0;
	CardKind card;
	LayerSpan held; //!< What it holds or has been ordered to hold; empty if nothing.
};

/// Give a target these layers to hold.
struct LayoutOrder
{
	uint32_t target = 0; //!< Index among the targets.
	LayerSpan layers;
};

/// @returns how many layers a target can hold beside the memory that `_roomTokens` of requests take there.
uint32_t layersThatFit(const EngineSpec& _engine, const CardKind& _card, double _roomTokens);

/// @returns tokens of requests that fit beside `_layers` layers.
double roomFor(const EngineSpec& _engine, const CardKind& _card, uint32_t _layers);

/// Lays a model out over targets that hold nothing: a whole chain in each data hall, since activations that cross
/// between halls cost most. Within a chain every part gets the same room for requests, because its tightest part binds
/// the chain. Halls that cannot hold the model alone share one chain.
std::vector<LayoutOrder> planLayout(const EngineSpec& _engine, const std::vector<LayoutTarget>& _targets);

/// What a repair may do beside giving lost ranges to empty targets.
struct RepairScope
{
	bool mayShift = false;  //!< Shift the borders of a chain that lacks layers.
	bool mayDouble = false; //!< Give empty targets that nothing needs a second copy of the tightest ranges.
};

/// Changes a layout after losses and arrivals.
std::vector<LayoutOrder> repairLayout(const EngineSpec& _engine, const std::vector<LayoutTarget>& _targets,
                                      const RepairScope& _scope);

} // namespace sedgecart

#endif // SEDGECART_CORE_LAYOUTPLAN_H_HEADER_GUARD

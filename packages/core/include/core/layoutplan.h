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
	LayerSpan held;      //!< What it holds or has been ordered to hold; empty if nothing.
	uint64_t tokens = 0; //!< Of the requests under way over it.
	LayerSpan serves;    //!< What it lets new requests pass through now: held, loaded, and not about to be given up.
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

/// How memory is shared between layers and requests.
struct LayoutPolicy
{
	/// Room that the holders of each layer in a hall have together, as a multiple of what the operator means a target
	/// to have (`EngineSpec::roomTokens`); the rest of the memory holds second copies. 0, or an operator that names no
	/// room: as much as memory allows. Worth of what was served (1: all in time; mean of 20 runs in which targets,
	/// nodes and the store fail), by this multiple: 0.553 at 1.1, 0.563 at 1.25, 0.567 at 1.35, 0.518 at 1.6; without
	/// second copies 0.492.
	double roomShare = 1.25;

	/// Whether a hall whose own chain would be tight keeps it where that serves more requests than its part of a chain
	/// that halls share; else such halls always share. Share of requests served by 23 nodes and 40 targets in five
	/// halls whose link bears two prompts a second, with targets lost: 0.06 without, 0.55 with.
	bool tightAlone = true;

	/// Whether orders leave running requests their memory and every layer somebody who serves it. Streams broken off in
	/// 30 runs in which targets leave one after the other: 659 without, 58 with.
	bool makeBeforeBreak = true;
};

/// Lays a model out over targets that hold nothing: whole chains in each data hall, since activations that cross
/// between halls cost most, the fastest targets in the first one, and second copies of layers on what is left. Every
/// target keeps like room for requests, because the tightest part binds a chain. Halls that cannot hold the model alone
/// share one chain.
std::vector<LayoutOrder> planLayout(const EngineSpec& _engine, const std::vector<LayoutTarget>& _targets,
                                    const LayoutPolicy& _policy);

/// @returns true if an order to a target in use leaves all requests under way their memory and takes no layer from the
/// last target that serves it. Where a layer is lost to all halls nothing passes, and only memory counts.
/// @param _targets as they are without the order.
bool leavesInUse(const EngineSpec& _engine, const std::vector<LayoutTarget>& _targets, const LayoutOrder& _order);

/// What a repair may do beside giving lost ranges to targets that hold nothing or only second copies.
struct RepairScope
{
	bool mayShift = false;  //!< Shift the borders of a chain that lacks layers.
	bool mayDouble = false; //!< Give empty targets that nothing needs second copies.
};

/// Changes a layout after losses and arrivals.
std::vector<LayoutOrder> repairLayout(const EngineSpec& _engine, const std::vector<LayoutTarget>& _targets,
                                      const LayoutPolicy& _policy, const RepairScope& _scope);

} // namespace sedgecart

#endif // SEDGECART_CORE_LAYOUTPLAN_H_HEADER_GUARD

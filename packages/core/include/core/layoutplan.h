// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_CORE_LAYOUTPLAN_H_HEADER_GUARD
#define SEDGECART_CORE_LAYOUTPLAN_H_HEADER_GUARD

#include <base/desiredstate.h>
#include <base/runner.h>

#include <cstdint>
#include <vector>

namespace sedgecart
{

/// State of a target as input to layout planning.
struct LayoutTarget
{
	uint32_t hall = 0;
	AcceleratorKind card;
	LayerSpan held;      //!< Layers that it holds or was ordered to hold; empty if none.
	uint64_t tokens = 0; //!< Tokens of the requests that currently run on it.
	LayerSpan serves;    //!< Layers that it runs for new requests now: loaded and not about to be unloaded.
};

/// An order to a target to hold these layers.
struct LayoutOrder
{
	uint32_t target = 0; //!< Index among the targets.
	LayerSpan layers;
};

/// @returns how many layers fit into a target's memory if it reserves KV cache for `_capacityTokens` tokens of
/// requests.
uint32_t layersThatFit(const EngineSpec& _engine, const AcceleratorKind& _card, double _capacityTokens);

/// @returns how many tokens of requests fit into a target's memory beside `_layers` layers.
double capacityFor(const EngineSpec& _engine, const AcceleratorKind& _card, uint32_t _layers);

/// How target memory is divided between layers and the KV cache of requests, and what orders must preserve.
struct LayoutPolicy
{
	/// Capacity for requests that the holders of each layer in a hall have together, as a multiple of the capacity that
	/// the operator configures for a target. The remaining memory holds second copies of layers, which keep a hall
	/// serving when targets fail; larger multiples leave too little memory for them. 0, or no configured capacity: as
	/// much capacity as memory allows, and no second copies.
	double capacityShare = 1.25;

	/// Whether a hall with little capacity beside the model keeps its own chain if that serves more requests than its
	/// share of a chain across halls. If false, such halls always share a chain, which a slow link between the halls
	/// limits to the few prompts per second that it can carry.
	bool keepTightChains = true;

	/// Whether orders must leave the memory of running requests untouched and every served layer with at least one
	/// target that serves it. Without this, streams break off when targets leave one after the other.
	bool makeBeforeBreak = true;
};

/// Distributes the layers of a model over targets that hold nothing: complete chains within each data hall, since
/// activations that cross between halls are the most expensive, with the fastest targets in the first chain, and second
/// copies of layers on the remaining targets. All targets of a chain reserve the same capacity for requests, because
/// the stage with the least capacity limits the chain. Halls that cannot hold the model alone share one chain.
std::vector<LayoutOrder> planLayout(const EngineSpec& _engine, const std::vector<LayoutTarget>& _targets,
                                    const LayoutPolicy& _policy);

/// @returns true if an order to a target in use leaves the memory of all running requests untouched and does not remove
/// a layer from the last target that serves it. If some layer is not held in any hall, no request can run, and only
/// memory is checked.
/// @param _targets state without the order.
bool isOrderSafe(const EngineSpec& _engine, const std::vector<LayoutTarget>& _targets, const LayoutOrder& _order);

/// What a repair may do in addition to assigning lost ranges to targets that hold nothing or only second copies.
struct RepairScope
{
	bool mayShiftBorders = false; //!< Move the layer boundaries within a chain that lacks layers.
	bool mayAddReplicas = false;  //!< Assign second copies to empty targets that are not needed otherwise.
};

/// Computes the orders that restore a layout after targets were lost or added.
std::vector<LayoutOrder> repairLayout(const EngineSpec& _engine, const std::vector<LayoutTarget>& _targets,
                                      const LayoutPolicy& _policy, const RepairScope& _scope);

} // namespace sedgecart

#endif // SEDGECART_CORE_LAYOUTPLAN_H_HEADER_GUARD

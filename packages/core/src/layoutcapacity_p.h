// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_CORE_LAYOUTCAPACITY_P_H_HEADER_GUARD
#define SEDGECART_CORE_LAYOUTCAPACITY_P_H_HEADER_GUARD

#include <core/layoutplan.h>

#include <cstdint>
#include <vector>

/// @file
/// Divides target memory between layers and the KV cache of requests, and selects the targets of each chain.

namespace sedgecart
{

/// Indices of targets.
using TargetIndices = std::vector<uint32_t>;

/// The targets of a group by their role.
struct GroupAssignment
{
	std::vector<TargetIndices> chains; //!< The targets of each chain together hold the whole model once.
	TargetIndices replicas;            //!< Targets that hold second copies of layers, from the first layer on.
};

/// @returns the KV cache that one token takes for each layer, MB.
double kvMbPerTokenLayer(const EngineSpec& _engine);

/// @returns groups of targets that form chains together: one for each hall with chains of its own, and one for all
/// halls that are too small for the model or serve more requests if they share a chain.
std::vector<TargetIndices> chainGroups(const EngineSpec& _engine, const std::vector<LayoutTarget>& _targets,
                                       const LayoutPolicy& _policy);

/// @returns the capacity that each target of a group reserves for requests, tokens: what the policy requests, or less
/// if the group's memory or the maximum chain length does not allow it; below 0 if the group cannot hold the model.
double plannedCapacity(const EngineSpec& _engine, const std::vector<LayoutTarget>& _targets,
                       const TargetIndices& _group, const LayoutPolicy& _policy);

/// Assigns the targets of a group: the fastest ones to the first chain, the following ones to further chains, and the
/// rest as replicas, which hold second copies. For layers that a replica holds too, each of the two targets needs only
/// half of the capacity, so that a single chain beside replicas needs fewer targets.
GroupAssignment assignGroup(const EngineSpec& _engine, const std::vector<LayoutTarget>& _targets,
                            const TargetIndices& _group, double _capacity);

/// @returns the capacity that a replica reserves beside chains that reserve `_capacity`, tokens. It is lower because
/// the replica and the chain share the requests.
double replicaCapacity(double _capacity);

/// @returns how many layers, from the first on, replicas hold consecutively.
uint32_t replicatedLayers(const EngineSpec& _engine, const std::vector<LayoutTarget>& _targets,
                          const TargetIndices& _replicas, double _capacity);

/// Assigns a span of layers to the members in their order, each at most what fits beside `_capacity` tokens of
/// requests. If more fits than the span needs, the slowest members are assigned less.
void assignSpan(const EngineSpec& _engine, const std::vector<LayoutTarget>& _targets, const TargetIndices& _members,
                double _capacity, LayerSpan _span, std::vector<LayoutOrder>& _orders);

/// Assigns the whole model to the members, the smallest share first. Replicas hold the first `_replicated` layers too.
void assignChain(const EngineSpec& _engine, const std::vector<LayoutTarget>& _targets, const TargetIndices& _members,
                 double _capacity, uint32_t _replicated, std::vector<LayoutOrder>& _orders);

/// @returns how many layers the members hold together if each reserves `_capacity` tokens for requests.
uint32_t totalLayersThatFit(const EngineSpec& _engine, const std::vector<LayoutTarget>& _targets,
                            const TargetIndices& _members, double _capacity);

/// @returns the largest capacity, in tokens, that each member can reserve if together they hold `_layers` layers; below
/// 0 if they cannot hold them.
double maxCapacity(const EngineSpec& _engine, const std::vector<LayoutTarget>& _targets, const TargetIndices& _members,
                   uint32_t _layers);

} // namespace sedgecart

#endif // SEDGECART_CORE_LAYOUTCAPACITY_P_H_HEADER_GUARD

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_CORE_LAYOUTROOM_P_H_HEADER_GUARD
#define SEDGECART_CORE_LAYOUTROOM_P_H_HEADER_GUARD

#include <core/layoutplan.h>

#include <cstdint>
#include <vector>

/// @file
/// How layers and room for requests share the targets' memory, and which targets of a group make up its chains.

namespace sedgecart
{

/// Indices of targets.
using Members = std::vector<uint32_t>;

/// The targets of a group by what they are for.
struct GroupDeal
{
	std::vector<Members> chains; //!< Each holds the whole model once.
	Members doubles;             //!< Hold second copies, from the first layer on.
};

/// @returns the memory that a token takes at each layer, MB.
double kvMbPerTokenLayer(const EngineSpec& _engine);

/// @returns the targets that share chains: those of a hall, and together those of all halls that are too small for the
/// model or serve more requests together.
std::vector<Members> chainGroups(const EngineSpec& _engine, const std::vector<LayoutTarget>& _targets,
                                 const LayoutPolicy& _policy);

/// @returns the room that each target of a group keeps for requests, tokens: what the policy asks for, less where the
/// group's memory or the longest chain does not allow it.
double plannedRoom(const EngineSpec& _engine, const std::vector<LayoutTarget>& _targets, const Members& _group,
                   const LayoutPolicy& _policy);

/// Deals a group out: the fastest targets to the first chain, what is left to the next ones, the rest are doubles,
/// which hold second copies. Layers that a double holds too need only half of the room at each of the two, so that a
/// single chain beside doubles takes fewer targets.
GroupDeal dealOut(const EngineSpec& _engine, const std::vector<LayoutTarget>& _targets, const Members& _group,
                  double _room);

/// @returns the room that a double keeps where chains keep `_room`, tokens: it and the chain share the requests.
double sharedRoom(double _room);

/// @returns the layers, from the first on, that doubles hold end to end.
uint32_t doubledLayers(const EngineSpec& _engine, const std::vector<LayoutTarget>& _targets, const Members& _doubles,
                       double _room);

/// Lays a span of layers over the members in their order, each at most what fits beside `_room`. What fits beyond the
/// span is taken off the members of the slowest kind.
void layInOrder(const EngineSpec& _engine, const std::vector<LayoutTarget>& _targets, const Members& _members,
                double _room, LayerSpan _span, std::vector<LayoutOrder>& _orders);

/// Lays the whole model over the members, the smallest share first. The first `_doubled` layers are held by doubles
/// too.
void layChain(const EngineSpec& _engine, const std::vector<LayoutTarget>& _targets, const Members& _members,
              double _room, uint32_t _doubled, std::vector<LayoutOrder>& _orders);

/// @returns layers that the members hold together beside `_room` tokens of requests each.
uint32_t layersThatFitAll(const EngineSpec& _engine, const std::vector<LayoutTarget>& _targets, const Members& _members,
                          double _room);

/// @returns the most room with which the members hold so many layers together, below 0 if they cannot.
double mostRoom(const EngineSpec& _engine, const std::vector<LayoutTarget>& _targets, const Members& _members,
                uint32_t _layers);

} // namespace sedgecart

#endif // SEDGECART_CORE_LAYOUTROOM_P_H_HEADER_GUARD

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_CORE_LAYERPATH_H_HEADER_GUARD
#define SEDGECART_CORE_LAYERPATH_H_HEADER_GUARD

#include <base/runner.h>

#include <cstdint>
#include <vector>

namespace sedgecart
{

/// A target that may carry a part of a path.
struct PathCandidate
{
	uint32_t hall = 0;       //!< Index of its data hall.
	LayerSpan held;          //!< Layers that it holds.
	double costPerLayer = 0; //!< Expected time of a step for one layer, with its load, microseconds.
	double costOfPart = 0;   //!< Beside that, once for its part, microseconds.
	double costOfLead = 0;   //!< Beside that, when it is the first of a path, microseconds.
	bool usable = true;
	bool mayLead = true; //!< It may be the first of a path, which takes the request.
};

/// One part of a path: which target runs which layers.
struct PathPart
{
	uint32_t candidate = 0; //!< Index among the candidates.
	LayerSpan layers;
};

/// Prices of going from one target to the next, microseconds.
struct HopCosts
{
	double inHall = 0;
	double betweenHalls = 0;
};

/// What a path is looked for.
struct PathQuery
{
	uint32_t layers = 0;     //!< Of the model.
	uint32_t firstLayer = 0; //!< Where the path begins; above 0 for the rest of one whose first parts stay.
	uint32_t homeHall = 0;   //!< Where the request is, or the part before the first layer.
	uint32_t halls = 1;      //!< Number of data halls.
	HopCosts entry; //!< From where the request is to the first part: the request itself goes there, no activations.
	HopCosts hops;  //!< Between parts.
};

/// Longest path that targets accept.
constexpr uint32_t kMostParts = 32;

/// Finds the cheapest path that runs every layer once and in order. Ranges may overlap; a target may run a part of what
/// it holds, but only one part. It is a shortest way over the places where parts can meet.
/// @returns false if the usable candidates do not cover the model, or only in too many parts.
bool findPath(const std::vector<PathCandidate>& _candidates, const PathQuery& _query, std::vector<PathPart>& _path);

} // namespace sedgecart

#endif // SEDGECART_CORE_LAYERPATH_H_HEADER_GUARD

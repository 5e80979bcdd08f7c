// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_CORE_LAYERPATH_H_HEADER_GUARD
#define SEDGECART_CORE_LAYERPATH_H_HEADER_GUARD

#include <base/runner.h>

#include <cstdint>
#include <vector>

namespace sedgecart
{

/// A target that may run a stage of a path.
struct PathCandidate
{
	uint32_t hall = 0;       //!< Index of its data hall.
	LayerSpan held;          //!< Layers that the target holds.
	double costPerLayer = 0; //!< Expected time of a step for one layer under the current load, microseconds.
	double stageCost = 0;    //!< Additional time for its stage, whatever the number of layers, microseconds.
	double headCost = 0;     //!< Additional time if it runs the first stage of the path, microseconds.
	bool usable = true;
	bool mayBeHead = true; //!< It may run the first stage of the path, which accepts the request.
};

/// One stage of a path: a target and the layers that it runs.
struct PathStage
{
	uint32_t candidate = 0; //!< Index among the candidates.
	LayerSpan layers;
};

/// Cost of sending activations from one target to the next, microseconds.
struct HopCosts
{
	double inHall = 0;
	double betweenHalls = 0;
};

/// Requirements for a path.
struct PathQuery
{
	uint32_t layers = 0;     //!< Number of layers of the model.
	uint32_t firstLayer = 0; //!< Where the path begins; above 0 if the first stages of an existing path are kept.
	uint32_t homeHall = 0;   //!< Hall of the request, or of the stage before `firstLayer`.
	uint32_t halls = 1;      //!< Number of data halls.
	HopCosts entry; //!< From the request's hall to the first stage. Carries the request itself, no activations.
	HopCosts hops;  //!< Between stages.
};

/// Maximum number of stages of a path that targets accept.
constexpr uint32_t kMaxStages = 32;

/// Finds the cheapest path that runs every layer once and in order. The layers of candidates may overlap. A target may
/// run a subrange of the layers that it holds, but at most one stage. This is a shortest-path search over the layers at
/// which stages can begin or end.
/// @returns false if the usable candidates do not cover the model, or only with more than `kMaxStages` stages.
bool findPath(const std::vector<PathCandidate>& _candidates, const PathQuery& _query, std::vector<PathStage>& _path);

} // namespace sedgecart

#endif // SEDGECART_CORE_LAYERPATH_H_HEADER_GUARD

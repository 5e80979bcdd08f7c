// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_BASE_CHAIN_H_HEADER_GUARD
#define SEDGECART_BASE_CHAIN_H_HEADER_GUARD

#include <base/handle.h>
#include <base/units.h>

#include <cstdint>
#include <string>
#include <vector>

namespace sedgecart
{

/// One stage of a chain: a target, its address and the layers that it runs.
struct ChainStage
{
	TargetHandle target;
	std::string name;
	std::string address;
	std::string hall;
	LayerRange layers;
	uint32_t slots = 1; //!< Concurrent streams of the target.
};

/// Targets that together run every layer of a model once, in order; one stage for a plain service.
struct Chain
{
	std::vector<ChainStage> stages;
	Duration tokenGap; //!< Time between two tokens as estimated by the planner.
};

/// @returns names of the targets, separated by ">".
std::string chainText(const Chain& _chain);

} // namespace sedgecart

#endif // SEDGECART_BASE_CHAIN_H_HEADER_GUARD

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_LOADS_LOADTABLE_H_HEADER_GUARD
#define SEDGECART_LOADS_LOADTABLE_H_HEADER_GUARD

#include <base/advertisedrate.h>
#include <base/targetincarnation.h>

#include <cstdint>
#include <map>

namespace sedgecart
{

/// Work in progress at one target.
struct LoadAmount
{
	uint64_t tokenLayers = 0;
	uint32_t requests = 0;
	uint32_t suspicion = 0; //!< Suspicion that the target is dead, summed over all nodes.
	double slowdown = 0;    //!< How many times slower than usual the target runs; 0: unknown, or as usual.
	AdvertisedRate rate;    //!< The rate limit that the target advertised last.
};

/// Loads by incarnation of the target; incarnations without load are omitted. Loads of two incarnations of a target are
/// not summed.
using LoadTable = std::map<TargetIncarnation, LoadAmount>;

/// Adds one table to another.
void addLoads(LoadTable& _sum, const LoadTable& _more);

/// Subtracts one amount from another; no value falls below zero.
void subtractLoad(LoadAmount& _sum, const LoadAmount& _less);

/// Subtracts one table from another; no value falls below zero.
void subtractLoads(LoadTable& _sum, const LoadTable& _less);

/// @returns true if there is nothing to report of a target.
bool isEmpty(const LoadAmount& _amount);

/// Replaces the rows of a table by changed ones; a changed row without load removes its target.
void applyChanges(const LoadTable& _changes, LoadTable& _table);

/// @returns the load of an incarnation of a target, including loads that were reported without a start time.
LoadAmount loadAt(const LoadTable& _table, const TargetIncarnation& _life);

} // namespace sedgecart

#endif // SEDGECART_LOADS_LOADTABLE_H_HEADER_GUARD

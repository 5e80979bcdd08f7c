// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_LEASES_HALLCAPACITY_H_HEADER_GUARD
#define SEDGECART_LEASES_HALLCAPACITY_H_HEADER_GUARD

#include <cstdint>
#include <vector>

namespace sedgecart
{

/// A target of a hall that takes requests.
struct HallTarget
{
	uint32_t begin = 0;        //!< First layer.
	uint32_t end = 0;          //!< Behind the last layer.
	double capacityTokens = 0; //!< At each of its layers.
	double loadTokens = 0;     //!< Mean over its layers.
	uint32_t slots = 0;        //!< Requests that it heads at once; 0: no limit.
	uint32_t requests = 0;     //!< That it heads now.
};

/// Capacity of a hall for one service, in tokens.
struct HallCapacity
{
	uint64_t tokens = 0; //!< If all its targets were idle.
	uint64_t free = 0;
};

/// Part of a target's memory that leases use. On the worst-served day of a deployment the estimated load of all
/// targets was within 5 in 100 of the memory that they reported as used, but single targets at an estimate of 0.85 to
/// 1.08 of their capacity reported 0.98 to 1.0 and turned arrivals away.
constexpr double kMaxLeasedUtilization = 0.9;

/// Computes the capacity of a hall: a request occupies each layer of the model once, so the layer with the least
/// counts. The load pattern: a few ranges of layers limit a hall while all its targets together are far from full.
/// @param _layers of the model.
/// @param _usualTokens of a request, which bounds what a head with few slots can take; 0: not known.
HallCapacity hallCapacity(const std::vector<HallTarget>& _targets, uint32_t _layers, double _usualTokens);

} // namespace sedgecart

#endif // SEDGECART_LEASES_HALLCAPACITY_H_HEADER_GUARD

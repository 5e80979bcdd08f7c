// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_CTL_LOADPLAN_H_HEADER_GUARD
#define SEDGECART_CTL_LOADPLAN_H_HEADER_GUARD

#include <http/endpoint.h>

#include <cstdint>
#include <string>
#include <vector>

namespace sedgecart
{

/// A customer of a load run.
struct LoadCustomer
{
	std::string name;
	std::string key;
	double share = 1; //!< Of all arrivals, relative to the others.
};

/// What a load run sends: open loop, so that a slow answer does not slow the arrivals.
struct LoadPlan
{
	std::vector<Endpoint> nodes; //!< Taken in turn, as a balancer would.
	std::string route;
	std::vector<LoadCustomer> customers;
	double requestsPerSecond = 10;
	double seconds = 10;
	double settleSeconds = 0; //!< Tokens delivered before are not counted: the estate is still filling up.
	uint32_t meanTokens = 32; //!< Lengths are spread evenly from half to one and a half of it.
	uint32_t promptBytes = 64;
	uint32_t deadlineMs = 30000;
	uint64_t seed = 1; //!< The same seed sends the same requests at the same times.
};

/// One arrival.
struct LoadArrival
{
	double atSeconds = 0; //!< After the start.
	uint32_t customer = 0;
	uint32_t tokens = 0;
	std::string prompt;
};

/// @returns every arrival of the plan in order of time: exponential gaps, seeded.
std::vector<LoadArrival> makeArrivals(const LoadPlan& _plan);

} // namespace sedgecart

#endif // SEDGECART_CTL_LOADPLAN_H_HEADER_GUARD

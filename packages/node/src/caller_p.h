// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_NODE_CALLER_P_H_HEADER_GUARD
#define SEDGECART_NODE_CALLER_P_H_HEADER_GUARD

#include <base/result.h>
#include <base/routespec.h>
#include <base/units.h>

#include <cstdint>
#include <string>

namespace sedgecart
{

class HttpExchangeI;
struct NodeContext;

/// Properties that all customer requests have: the customer, the route and the deadline.
struct Caller
{
	std::string requestId; //!< Request id.
	std::string customer;
	uint32_t weight = 1;
	RouteSpec route;
	Time startedAt; //!< When the request was received.
	Time deadline;
};

/// Authenticates the customer of a request and checks its route and its deadline.
/// @param _route name of the requested route.
/// @param _kind kind that the route must have.
/// @returns the caller; BadRequest, BadKey, UnknownRoute, RouteElsewhere or Stopping if a check fails.
Result<Caller> identify(const NodeContext& _context, const HttpExchangeI& _exchange, const std::string& _requestId,
                        const std::string& _route, RouteKind::Enum _kind);

} // namespace sedgecart

#endif // SEDGECART_NODE_CALLER_P_H_HEADER_GUARD

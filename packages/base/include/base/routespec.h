// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_BASE_ROUTESPEC_H_HEADER_GUARD
#define SEDGECART_BASE_ROUTESPEC_H_HEADER_GUARD

#include <cstdint>
#include <string>

namespace sedgecart
{

/// What serves the requests of a route.
struct RouteKind
{
	enum Enum
	{
		Model,   //!< A chain of model runners.
		Service, //!< One application runner.

		Count
	};
};

/// A route as configured.
struct RouteSpec
{
	std::string name;
	RouteKind::Enum kind = RouteKind::Model;
	std::string model;          //!< Model or service that its targets serve.
	uint32_t layers = 0;        //!< Layers of the model, 0 for a service.
	bool repeatable = false;    //!< Service: a call may run more than once.
	std::string holder;         //!< Side that holds the route, empty while it is released.
	std::string releasedBy;     //!< Side that released it last.
	uint64_t lastPlacement = 0; //!< 1 + offset of the last record that assigned layers for it to a target; 0: none.
};

} // namespace sedgecart

#endif // SEDGECART_BASE_ROUTESPEC_H_HEADER_GUARD

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_BASE_CONFIGCHANGE_H_HEADER_GUARD
#define SEDGECART_BASE_CONFIGCHANGE_H_HEADER_GUARD

#include <base/customerspec.h>
#include <base/hallspec.h>
#include <base/linkspec.h>
#include <base/routespec.h>
#include <base/targetspec.h>
#include <base/units.h>

#include <string>

namespace sedgecart
{

/// What a change does to its object.
struct ChangeVerb
{
	enum Enum
	{
		Put,
		Remove,
		Drain,   //!< Target, or every target of a hall.
		Resume,  //!< Ends a drain.
		Release, //!< Route: the side that holds it releases it.
		Take,    //!< Route: a side acquires a released route.
		Move,    //!< Route: the side that holds it transfers it to another.
		Assign,  //!< Target: assigns layers of a route's model to it.

		Count
	};
};

/// Kinds of configured objects.
struct ObjectKind
{
	enum Enum
	{
		None,
		Hall,
		Link,
		Customer,
		Route,
		Target,

		Count
	};
};

/// One change of the configuration, as recorded in the log.
struct ConfigChange
{
	std::string id;     //!< Unique; a change is applied once per id.
	std::string author; //!< Who ordered it.
	ChangeVerb::Enum verb = ChangeVerb::Put;
	ObjectKind::Enum kind = ObjectKind::None;
	std::string name;           //!< Name of the changed object.
	std::string side;           //!< Release and move: the side that holds the route. Take: the side that acquires it.
	std::string toSide;         //!< Move: the side that it is transferred to.
	std::string forRoute;       //!< Assign: the route that the layers belong to.
	LayerRange layers;          //!< Assign: the layers that the target is to hold.
	uint64_t lastPlacement = 0; //!< Assign: expected RouteSpec::lastPlacement of the route.
	bool hasPrecondition = false;
	uint64_t expectedRevision = 0; //!< Expected revision of the object, 0: it must not exist.
	HallSpec hall;
	LinkSpec link;
	CustomerSpec customer;
	RouteSpec route;
	TargetSpec target;
};

/// @returns verb, kind and name in readable form.
std::string describe(const ConfigChange& _change);
/// @returns "target" and so on.
const char* nameOf(ObjectKind::Enum _kind);
/// @returns "drain" and so on.
const char* nameOf(ChangeVerb::Enum _verb);

} // namespace sedgecart

#endif // SEDGECART_BASE_CONFIGCHANGE_H_HEADER_GUARD

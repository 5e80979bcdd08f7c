// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_BASE_DESIREDSTATE_H_HEADER_GUARD
#define SEDGECART_BASE_DESIREDSTATE_H_HEADER_GUARD

#include <base/units.h>

#include <cstdint>
#include <string>
#include <vector>

/// @file
/// What the operator wants of a deployment whose configuration is written as one document: routes, services, customers
/// and limits. An object is immutable once it has been published to the request path.

namespace sedgecart
{

/// Version of a desired state. Only rises.
struct StateVersion
{
	uint64_t value = 0;
};

constexpr bool operator<(StateVersion _a, StateVersion _b)
{
	return _a.value < _b.value;
}

constexpr bool operator==(StateVersion _a, StateVersion _b)
{
	return _a.value == _b.value;
}

/// What may be repeated of a request.
struct RequestKind
{
	enum Enum
	{
		Idempotent, //!< May run more than once.
		AtMostOnce, //!< Runs at most once for each attempt of the caller.
		Stream,     //!< Answered by events; at most once unless the route says that it may be resumed.

		Count
	};
};

/// One share of a route's requests.
struct WeightedService
{
	std::string service;
	double weight = 1;
};

/// Where requests of one host and path prefix go.
struct HostRoute
{
	std::string name;
	std::string host;
	std::string pathPrefix; //!< Begins and ends with a slash.
	RequestKind::Enum kind = RequestKind::AtMostOnce;
	std::vector<WeightedService> services;
	Duration timeout;        //!< Longest time that a request may be held; 0: no bound.
	Duration objective;      //!< An answer within it is on time.
	Duration pauseObjective; //!< Longest pause between two events of an answer on time; 0: none given.
	uint32_t maxRuns = 1;    //!< Targets that one request may run on.
	uint32_t urgency = 5;    //!< 0 is most urgent.
	bool withoutKey = false; //!< Needs no key.
	bool resumable = false;  //!< A stream of it may be continued at another target.
};

/// A kind of accelerator.
struct CardKind
{
	std::string name;
	double memoryMb = 0;
	double stepFactor = 1; //!< Times as long as the reference for a step.
	double readFactor = 1; //!< Times as long as the reference for reading prompts.
};

/// The model that a service's targets run together.
struct EngineSpec
{
	std::string model;
	uint32_t layers = 0; //!< 0: every target runs the whole model.
	double layerMb = 0;
	double kvBytesPerToken = 0; //!< Over all layers.
	double stepMs = 0;          //!< Of the reference card, all layers.
	double readTokensPerSecond = 0;
	double loadSeconds = 0;      //!< To load all layers, alone.
	double roomTokens = 0;       //!< Tokens of requests that a target is meant to hold; 0: none given.
	double hopBytesPerToken = 0; //!< Activations that go from one target to the next.
	double hallLinkMbps = 0;     //!< Between two data halls, shared by all; 0: none given.
	double usualPromptTokens = 0;
	double usualAnswerTokens = 0;
	std::vector<CardKind> kinds;
};

/// @returns the kind of that name, null if the engine has none.
const CardKind* findKind(const EngineSpec& _engine, const std::string& _name);

/// Targets that answer the same requests.
struct ServiceSpec
{
	std::string name;
	uint32_t maxConnections = 0; //!< To one target, from all nodes together; 0: no bound.
	bool hasEngine = false;      //!< Its targets run a model in layers.
	EngineSpec engine;
};

/// A customer and its keys.
struct KeyHolder
{
	std::string name;
	std::vector<std::string> keys;
	uint32_t urgency = 5;
	bool hasUrgency = false; //!< Its urgency goes before the route's.
};

/// Bounds on what a caller may send.
struct CallerLimits
{
	uint32_t headerBytes = 16384;
	uint64_t bodyBytes = 4194304;
	Duration headerTime = Duration::fromMillis(3000);
	Duration idleTime = Duration::fromMillis(15000);
};

/// One whole version.
struct DesiredState
{
	StateVersion version;
	std::vector<HostRoute> routes;
	std::vector<ServiceSpec> services;
	std::vector<KeyHolder> customers;
	bool keysNeeded = false; //!< Customers are listed, so requests need a key.
	CallerLimits limits;
};

} // namespace sedgecart

#endif // SEDGECART_BASE_DESIREDSTATE_H_HEADER_GUARD

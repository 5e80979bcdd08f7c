// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_BASE_DESIREDSTATE_H_HEADER_GUARD
#define SEDGECART_BASE_DESIREDSTATE_H_HEADER_GUARD

#include <base/units.h>

#include <cstdint>
#include <string>
#include <vector>

/// @file
/// The operator's desired state of a deployment that is configured by one document: routes, services, customers and
/// limits. An object is immutable once it has been published to the request path.

namespace sedgecart
{

/// Version of a desired state; increases monotonically.
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

/// Whether a request may be executed repeatedly.
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

/// A service that gets a share of a route's requests.
struct WeightedService
{
	std::string service;
	double weight = 1;
};

/// Routes requests of one host and path prefix.
struct HostRoute
{
	std::string name;
	std::string host;
	std::string pathPrefix; //!< Begins and ends with a slash.
	RequestKind::Enum kind = RequestKind::AtMostOnce;
	std::vector<WeightedService> services;
	Duration timeout;        //!< Longest time that a request may take; 0: no bound.
	Duration objective;      //!< Target response time of an answer that is on time.
	Duration pauseObjective; //!< Longest pause between two events of an answer that is on time; 0: not set.
	uint32_t maxRuns = 1;    //!< Targets that one request may run on.
	uint32_t urgency = 5;    //!< 0 is most urgent.
	bool authExempt = false; //!< Requests need no key.
	bool resumable = false;  //!< A stream of it may be continued at another target.
};

/// A kind of accelerator.
struct AcceleratorKind
{
	std::string name;
	double memoryMb = 0;
	double stepFactor = 1;    //!< Duration of a step, as a multiple of the reference accelerator's.
	double prefillFactor = 1; //!< Duration of prompt processing, as a multiple of the reference accelerator's.
};

/// The model that the targets of a service run together.
struct EngineSpec
{
	std::string model;
	uint32_t layers = 0; //!< 0: each target runs the whole model.
	double layerMb = 0;
	double kvBytesPerToken = 0; //!< Over all layers.
	double stepMs = 0;          //!< Duration of a step through all layers on the reference accelerator.
	double prefillTokensPerSecond = 0;
	double loadSeconds = 0;      //!< To load all layers while no other target loads.
	double capacityTokens = 0;   //!< KV-cache capacity that a target should have, in tokens of requests; 0: not set.
	double hopBytesPerToken = 0; //!< Size of the activations sent from one target to the next.
	double hallLinkMbps = 0;     //!< Link speed between two data halls, shared by all; 0: not set.
	double usualPromptTokens = 0;
	double usualAnswerTokens = 0;
	std::vector<AcceleratorKind> acceleratorKinds;
};

/// @returns the accelerator kind with this name, null if the engine has none.
const AcceleratorKind* findAcceleratorKind(const EngineSpec& _engine, const std::string& _name);

/// Targets that answer the same requests.
struct ServiceSpec
{
	std::string name;
	uint32_t maxConnections = 0; //!< Connections to one target, of all nodes together; 0: no bound.
	bool hasEngine = false;      //!< Its targets run the layers of a model.
	EngineSpec engine;
};

/// A customer and its keys.
struct KeyHolder
{
	std::string name;
	std::vector<std::string> keys;
	uint32_t urgency = 5;
	bool hasUrgency = false; //!< Its urgency overrides the route's.
};

/// Bounds on what a caller may send.
struct CallerLimits
{
	uint32_t headerBytes = 16384;
	uint64_t bodyBytes = 4194304;
	Duration headerTime = Duration::fromMillis(3000);
	Duration idleTime = Duration::fromMillis(15000);
};

/// One complete version of the desired state.
struct DesiredState
{
	StateVersion version;
	std::vector<HostRoute> routes;
	std::vector<ServiceSpec> services;
	std::vector<KeyHolder> customers;
	bool keysRequired = true; //!< False only if a state that was read does not list customers at all.
	CallerLimits limits;
};

} // namespace sedgecart

#endif // SEDGECART_BASE_DESIREDSTATE_H_HEADER_GUARD

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_NODE_SETTINGS_H_HEADER_GUARD
#define SEDGECART_NODE_SETTINGS_H_HEADER_GUARD

#include <core/placement.h>
#include <core/planner.h>
#include <http/endpoint.h>
#include <logging/logging.h>

#include <cstdint>
#include <string>
#include <vector>

namespace sedgecart
{

/// Validated settings of a `sedgecartd` process.
struct Settings
{
	std::string name;
	std::string hall;
	Endpoint listen;
	std::string peerListen;         //!< "ip:port".
	std::vector<std::string> peers; //!< "ip:port" of other nodes, in addition to those in the VM list.
	Endpoint platformLog;
	Endpoint platformVms;
	std::string operatorKey;
	std::string peerKey;
	PlacementPolicy::Enum placement = PlacementPolicy::Spares;
	PlannerKind::Enum planner = PlannerKind::EarliestFinish;
	uint32_t silenceMs = 0;       //!< Silence after which a stream counts as broken; 0: scaled to the chain's own gaps.
	uint32_t threads = 1024;      //!< Requests served concurrently.
	uint32_t stopDelayMs = 1000;  //!< Accepts requests this long after the stop signal, until the balancer has reacted.
	uint32_t stopBoundMs = 60000; //!< Longest wait for requests in flight.
	uint32_t readTimeoutMs = 5000;  //!< For a caller to send its request.
	uint32_t writeTimeoutMs = 5000; //!< For a caller to receive what was written.
	LogLevel::Enum logLevel = LogLevel::Info;
	bool logJson = false;
};

/// Result of reading the settings.
struct SettingsOutcome
{
	enum Enum
	{
		Run,     //!< The settings are valid.
		Exit,    //!< Help or version was requested.
		Invalid, //!< A setting is invalid; `_message` says which.

		Count
	};
};

/// Reads each setting from its flag, else from its environment variable SEDGECART_..., else its default, and validates
/// it.
/// @param _message receives the text to print for Exit and Bad.
SettingsOutcome::Enum readSettings(int _argc, const char* const* _argv, Settings& _settings, std::string& _message);

/// @returns the flags with their variables, defaults, allowed values and meanings, one table row each, as in
/// docs/REFERENCE.md.
std::string settingsReference();

} // namespace sedgecart

#endif // SEDGECART_NODE_SETTINGS_H_HEADER_GUARD

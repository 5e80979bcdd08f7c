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

/// Settings of one `sedgecartd`, checked.
struct Settings
{
	std::string name;
	std::string hall;
	Endpoint listen;
	std::string peerListen;         //!< "ip:port".
	std::vector<std::string> peers; //!< "ip:port" of other nodes, beside those in the VM list.
	Endpoint platformLog;
	Endpoint platformVms;
	std::string operatorKey;
	std::string peerKey;
	PlacementPolicy::Enum placement = PlacementPolicy::Spares;
	PlannerKind::Enum planner = PlannerKind::EarliestFinish;
	uint32_t silenceMs = 0;         //!< Silence of a stream that counts as a break; 0: scaled to the chain's own gaps.
	uint32_t threads = 1024;        //!< Requests at once.
	uint32_t stopDelayMs = 1000;    //!< After the stop signal, still accepting while the balancer moves on.
	uint32_t stopBoundMs = 60000;   //!< Longest wait for requests in flight.
	uint32_t readTimeoutMs = 5000;  //!< For a caller to finish its header.
	uint32_t writeTimeoutMs = 5000; //!< For a caller to take what was written.
	LogLevel::Enum logLevel = LogLevel::Info;
	bool logJson = false;
};

/// What reading the settings gave.
struct SettingsOutcome
{
	enum Enum
	{
		Run,  //!< Settings are good.
		Exit, //!< Help or version was printed.
		Bad,  //!< `message` says what is wrong.

		Count
	};
};

/// Reads flags, then environment variables SEDGECART_..., then defaults, and checks every one.
/// @param _message set to the text to print for Exit and Bad.
SettingsOutcome::Enum readSettings(int _argc, const char* const* _argv, Settings& _settings, std::string& _message);

/// @returns the flags with their variables, defaults and meanings, one line each as in docs/REFERENCE.md.
std::string settingsReference();

} // namespace sedgecart

#endif // SEDGECART_NODE_SETTINGS_H_HEADER_GUARD

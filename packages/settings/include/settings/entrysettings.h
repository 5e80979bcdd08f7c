// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

/// \file
/// Package `settings`: an operator's settings of one node, from its file, flags and environment, validated before
/// anything starts. The error for a wrong value names the field and the allowed values, and the process does not start.
///
/// `SettingsFile` detects changes of the file. Settings that require a restart are named, the others are applied at
/// once. `Mechanisms` lists the policies that can be disabled individually, to measure the effect of each.

#ifndef SEDGECART_SETTINGS_ENTRYSETTINGS_H_HEADER_GUARD
#define SEDGECART_SETTINGS_ENTRYSETTINGS_H_HEADER_GUARD

#include <base/requestidentity.h>
#include <base/units.h>
#include <core/retryshare.h>
#include <settings/mechanisms.h>

#include <cstdint>
#include <set>
#include <string>

namespace sedgecart
{

/// Validated settings of a node on the users' platform. docs/REFERENCE.md lists them.
struct EntrySettings
{
	std::string name;
	std::string hall;
	std::string callerAddress; //!< "ip:port" for callers.
	std::string readyAddress;  //!< "ip:port" for the platform's readiness checks.
	std::string ip;            //!< Of this VM.
	uint16_t firstPeerPort = 0;
	uint16_t lastPeerPort = 0;
	std::string storeAddress;       //!< "ip:port" of the platform's store.
	double cpuShare = 1;            //!< Of a core, that this node may use.
	double linkMbps = 1000;         //!< Of this VM, each way.
	double memoryMb = 256;          //!< That this node may use; a node takes no more for its own work.
	uint32_t maxDescriptors = 4096; //!< Open files and sockets that this node may have; half of them for callers.
	RetryAllowance retries;
	Duration keyBound = Duration::fromMillis(5000);  //!< How long a revoked key may still be accepted.
	bool keyBoundStrict = false;                     //!< `keyBound` also applies while a node cannot reach the store.
	Duration stopBound = Duration::fromMillis(8000); //!< From the stop signal to the kill.
	Mechanisms mechanisms;
	std::set<RequestIdentity> neverBlocked; //!< Requests that are not blocked however many targets crash under them.
};

/// @returns "ip:port" that the node listens on for other nodes.
std::string peerAddress(const EntrySettings& _settings);

/// @returns "ip:port" that the node takes callers' requests from other nodes on; empty if it has one peer port only.
std::string handoverAddress(const EntrySettings& _settings);

/// @returns the names of changed settings that take effect only after a restart, separated by blanks.
std::string settingsRequiringRestart(const EntrySettings& _before, const EntrySettings& _after);

/// Reads a settings file of NAME=VALUE lines. Unknown names are ignored.
/// @param _message set to one sentence that names the field, its value and the allowed values.
/// @returns false if a setting is missing or invalid.
bool readEntrySettings(const std::string& _path, EntrySettings& _settings, std::string& _message);

} // namespace sedgecart

#endif // SEDGECART_SETTINGS_ENTRYSETTINGS_H_HEADER_GUARD

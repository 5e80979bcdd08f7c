// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

/// \file
/// Package `settings`: what the operator sets for one node, from its file, flags and environment, checked before
/// anything starts. A wrong value is told with its field and what is allowed, and the process does not start by it.
///
/// `SettingsFile` tells when the file has changed; what takes a restart is named, the rest is taken at once.
/// `Mechanisms` names each policy that can be switched off alone, to measure what it is worth.

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

/// Settings of a node on the users' platform, checked. docs/REFERENCE.md lists them.
struct EntrySettings
{
	std::string name;
	std::string hall;
	std::string callerAddress; //!< "ip:port" for callers.
	std::string readyAddress;  //!< "ip:port" for the platform's question whether this node takes connections.
	std::string ip;            //!< Of this VM.
	uint16_t firstPeerPort = 0;
	uint16_t lastPeerPort = 0;
	std::string storeAddress; //!< "ip:port" of the platform's store.
	double cpuShare = 1;      //!< Of a core, that this node may use.
	double linkMbps = 1000;   //!< Of this VM, each way.
	RetryAllowance retries;
	Duration keyBound = Duration::fromMillis(5000);  //!< A key taken away must not work longer than this.
	bool keyBoundStrict = false;                     //!< It holds also for nodes that cannot reach the store.
	Duration stopBound = Duration::fromMillis(8000); //!< From the stop signal to the kill.
	Mechanisms mechanisms;
	std::set<RequestIdentity> neverBlocked; //!< However many targets end under them.
};

/// @returns "ip:port" that the node hears other nodes on.
std::string peerAddress(const EntrySettings& _settings);

/// @returns the names of settings that differ but that a running node keeps as they are, separated by blanks.
std::string settingsThatTakeARestart(const EntrySettings& _before, const EntrySettings& _after);

/// Reads a settings file of NAME=VALUE lines. Names that are not known are ignored.
/// @param _message set to one sentence that names field, value and what is allowed.
/// @returns false if a setting is missing or wrong.
bool readEntrySettings(const std::string& _path, EntrySettings& _settings, std::string& _message);

} // namespace sedgecart

#endif // SEDGECART_SETTINGS_ENTRYSETTINGS_H_HEADER_GUARD

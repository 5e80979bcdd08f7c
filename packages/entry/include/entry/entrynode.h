// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

/// \file
/// Package `entry`: one node as a process. It owns the two loops and their threads, wires the packages together, tells
/// whether it is ready, and stops as planned.
///
/// The request loop carries callers, targets and `PathWatch`; the control loop carries followers, layout and the hall.
/// They share the published view, the loads at targets and a few atomics; all else crosses by posting to the other
/// loop.

#ifndef SEDGECART_ENTRY_ENTRYNODE_H_HEADER_GUARD
#define SEDGECART_ENTRY_ENTRYNODE_H_HEADER_GUARD

#include <memory>
#include <string>

namespace sedgecart
{

class EntryPortsI;
struct EntrySettings;

/// One node on the users' platform: a loop for requests and a control thread.
class EntryNode
{
public:
	/// Starts and listens.
	/// @remarks Throws std::exception when an address cannot be bound.
	EntryNode(const EntrySettings& _settings, EntryPortsI& _ports);
	~EntryNode();

	EntryNode(const EntryNode&) = delete;
	EntryNode& operator=(const EntryNode&) = delete;

	/// Takes changed settings: the store's address, the bounds on keys, retries and stops. The others take a restart.
	void reload(const EntrySettings& _settings);

	/// Stops as planned: says that it is not ready, serves on while connections still come, and returns when no request
	/// is left or the time is nearly over.
	void stop();

	/// @returns the state of the process as JSON.
	std::string dump() const;

private:
	class Impl;
	std::unique_ptr<Impl> impl_;
};

} // namespace sedgecart

#endif // SEDGECART_ENTRY_ENTRYNODE_H_HEADER_GUARD

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

/// \file
/// Package `entry`: one node as a process. It owns the two event loops and their threads, wires the packages together,
/// serves the readiness check, and shuts down gracefully.
///
/// The request loop runs callers, targets and `PathWatch`; the control loop runs followers, layout and the hall. They
/// share the published view, the loads of targets and a few atomics; everything else is posted to the other loop.

#ifndef SEDGECART_ENTRY_ENTRYNODE_H_HEADER_GUARD
#define SEDGECART_ENTRY_ENTRYNODE_H_HEADER_GUARD

#include <memory>
#include <string>

namespace sedgecart
{

class EntryPortsI;
struct EntrySettings;

/// One node on the users' platform, with a request thread and a control thread.
class EntryNode
{
public:
	/// Starts both threads and listens for callers and readiness checks.
	/// @remarks Throws std::exception when an address cannot be bound.
	EntryNode(const EntrySettings& _settings, EntryPortsI& _ports);
	~EntryNode();

	EntryNode(const EntryNode&) = delete;
	EntryNode& operator=(const EntryNode&) = delete;

	/// Applies changed settings: the store's address, and the limits on keys, retries and stops. The others require a
	/// restart.
	void reload(const EntrySettings& _settings);

	/// Shuts down gracefully: reports that the node is not ready, serves while connections still arrive, and returns
	/// when all requests have ended or shortly before the stop bound ends.
	void stop();

	/// @returns the state of the process as JSON.
	std::string dump() const;

private:
	class Impl;
	std::unique_ptr<Impl> impl_;
};

} // namespace sedgecart

#endif // SEDGECART_ENTRY_ENTRYNODE_H_HEADER_GUARD

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_NODE_VMWATCHER_P_H_HEADER_GUARD
#define SEDGECART_NODE_VMWATCHER_P_H_HEADER_GUARD

#include <http/endpoint.h>

#include <atomic>
#include <thread>

namespace sedgecart
{

class Control;
class Peers;

/// Reads the platform's VM list periodically, in a thread of its own. While the list cannot be read, the last one that
/// was read remains in effect.
class VmWatcher
{
public:
	VmWatcher(const Endpoint& _vms, Control& _control, Peers& _peers);
	~VmWatcher();

	VmWatcher(const VmWatcher&) = delete;
	VmWatcher& operator=(const VmWatcher&) = delete;

private:
	void run();

	Endpoint vms_;
	Control& control_;
	Peers& peers_;
	std::atomic<bool> stopping_{false};
	std::thread thread_;
};

} // namespace sedgecart

#endif // SEDGECART_NODE_VMWATCHER_P_H_HEADER_GUARD

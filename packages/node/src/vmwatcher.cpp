// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "vmwatcher_p.h"

#include "control_p.h"
#include "peers_p.h"

#include <logging/logging.h>
#include <store/httpvmlist.h>

#include <chrono>
#include <map>

namespace sedgecart
{

namespace
{

constexpr std::chrono::milliseconds kReadInterval{500};

} // namespace

VmWatcher::VmWatcher(const Endpoint& _vms, Control& _control, Peers& _peers)
    : vms_(_vms),
      control_(_control),
      peers_(_peers)
{
	thread_ = std::thread(
	    [this]
	    {
		    run();
	    });
}

VmWatcher::~VmWatcher()
{
	stopping_ = true;
	thread_.join();
}

void VmWatcher::run()
{
	HttpVmList list(vms_);
	std::vector<VmInfo> vms;
	while (!stopping_)
	{
		if (list.read(vms))
		{
			std::set<std::string> leaving;
			std::set<std::string> nodes;
			std::map<std::string, std::string> endpoints;
			for (const VmInfo& vm : vms)
			{
				if (vm.peer.empty())
				{
					leaving.insert(vm.leaving ? vm.name : std::string());
					continue;
				}
				endpoints[vm.name] = vm.peer;
				nodes.insert(vm.leaving ? std::string() : vm.name);
			}
			leaving.erase(std::string());
			nodes.erase(std::string());
			control_.onVmList(leaving, nodes);
			peers_.setListed(endpoints);
		}
		std::this_thread::sleep_for(kReadInterval);
	}
}

} // namespace sedgecart

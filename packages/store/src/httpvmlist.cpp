// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <store/httpvmlist.h>

#include <base/config.h>
#include <wire/json.h>
#include <wire/sedgecart.pb.h>

namespace sedgecart
{

HttpVmList::HttpVmList(const Endpoint& _endpoint) : client_(_endpoint)
{
}

bool HttpVmList::read(std::vector<VmInfo>& _vms)
{
	constexpr uint16_t kOk = 200;
	HttpCall call;
	call.target = "/vms";
	const HttpOutcome outcome = client_.call(call, Duration::fromMillis(SEDGECART_CONFIG_LOG_TIMEOUT_MS));
	wire::VmList list;
	if (CallState::Replied != outcome.state || kOk != outcome.reply.status || !fromJson(outcome.reply.body, list))
	{
		return false;
	}
	_vms.clear();
	for (const wire::Vm& vm : list.vms())
	{
		_vms.push_back(VmInfo{vm.name(), vm.peer(), vm.hall(), vm.leaving()});
	}
	return true;
}

} // namespace sedgecart

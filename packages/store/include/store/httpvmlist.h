// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_STORE_HTTPVMLIST_H_HEADER_GUARD
#define SEDGECART_STORE_HTTPVMLIST_H_HEADER_GUARD

#include <http/endpoint.h>
#include <http/httpclient.h>
#include <store/vmlist.h>

namespace sedgecart
{

/// Reads the VM list over HTTP. Not thread-safe.
class HttpVmList : public VmListI
{
public:
	explicit HttpVmList(const Endpoint& _endpoint);

	bool read(std::vector<VmInfo>& _vms) override;

private:
	HttpClient client_;
};

} // namespace sedgecart

#endif // SEDGECART_STORE_HTTPVMLIST_H_HEADER_GUARD

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_STORE_VMLIST_H_HEADER_GUARD
#define SEDGECART_STORE_VMLIST_H_HEADER_GUARD

#include <string>
#include <vector>

namespace sedgecart
{

/// A VM as the platform lists it.
struct VmInfo
{
	std::string name;
	std::string peer; //!< "ip:port" for other nodes; set for entry VMs only.
	std::string hall;
	bool leaving = false;
};

/// The platform's list of VMs, which may lag behind the actual state.
class VmListI
{
public:
	virtual ~VmListI() = default;

	/// Reads the whole list.
	/// @returns false if the list could not be read.
	virtual bool read(std::vector<VmInfo>& _vms) = 0;
};

} // namespace sedgecart

#endif // SEDGECART_STORE_VMLIST_H_HEADER_GUARD

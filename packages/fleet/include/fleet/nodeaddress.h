// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_FLEET_NODEADDRESS_H_HEADER_GUARD
#define SEDGECART_FLEET_NODEADDRESS_H_HEADER_GUARD

#include <base/recordfault.h>

#include <string>

namespace sedgecart
{

/// Address of an entry node.
struct NodeAddress
{
	std::string address; //!< "ip:port" that it listens on for other nodes.
	std::string hall;
	double cpuShare = 0;         //!< Of a core.
	std::string handoverAddress; //!< "ip:port" that takes callers' requests from other nodes; empty: none.
};

inline bool operator==(const NodeAddress& _a, const NodeAddress& _b)
{
	return _a.address == _b.address && _a.hall == _b.hall && _a.cpuShare == _b.cpuShare &&
	       _a.handoverAddress == _b.handoverAddress;
}

/// Parses a record of the nodes' topic.
/// @param _node set if there is no fault.
/// @returns why the record is unusable; RecordFault::None: it is valid.
RecordFault::Enum parseNodeAddress(const std::string& _text, NodeAddress& _node);

} // namespace sedgecart

#endif // SEDGECART_FLEET_NODEADDRESS_H_HEADER_GUARD

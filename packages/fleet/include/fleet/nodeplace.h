// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_FLEET_NODEPLACE_H_HEADER_GUARD
#define SEDGECART_FLEET_NODEPLACE_H_HEADER_GUARD

#include <base/recordfault.h>

#include <string>

namespace sedgecart
{

/// Where an entry node is.
struct NodeAddress
{
	std::string address; //!< "ip:port" that it hears other nodes on.
	std::string hall;
	double cpuShare = 0; //!< Of a core.
};

/// Reads a record of the nodes' topic.
/// @param _node set if there is no fault.
/// @returns why the record names no node; RecordFault::None: it does.
RecordFault::Enum readNodePlace(const std::string& _text, NodeAddress& _node);

} // namespace sedgecart

#endif // SEDGECART_FLEET_NODEPLACE_H_HEADER_GUARD

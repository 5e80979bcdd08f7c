// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <fleet/nodeaddress.h>

#include <base/endpointtext.h>
#include <wire/boundedparse.h>
#include <wire/sedgecart.pb.h>

namespace sedgecart
{

namespace
{

/// Size limit of a node's record: an address and a name, and room for what later versions may add.
constexpr ParseBound kBound{16UL * 1024, 1000};

/// Maximum number of cores of a node.
constexpr double kMaxCores = 4096;

} // namespace

RecordFault::Enum parseNodeAddress(const std::string& _text, NodeAddress& _node)
{
	if (kBound.bytes < _text.size())
	{
		return RecordFault::TooLarge;
	}
	wire::NodePlace place;
	if (!parseBounded(_text, kBound, place))
	{
		return RecordFault::Unreadable;
	}
	if (place.address().empty() || place.hall().empty())
	{
		return RecordFault::FieldMissing;
	}
	const bool isShare = 0 <= place.cpu_share() && place.cpu_share() <= kMaxCores; // also false for NaN
	const bool isHandoverValid = place.handover_address().empty() || isEndpoint(place.handover_address());
	if (!isShare || !isHandoverValid || !isEndpoint(place.address()))
	{
		return RecordFault::AbsurdValue;
	}
	_node = NodeAddress{place.address(), place.hall(), place.cpu_share(), place.handover_address()};
	return RecordFault::None;
}

} // namespace sedgecart

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <fleet/nodeplace.h>

#include <base/endpointtext.h>
#include <wire/boundedparse.h>
#include <wire/sedgecart.pb.h>

namespace sedgecart
{

namespace
{

/// What a record of a node may take: an address and a name, and what later versions may add.
constexpr ParseBound kBound{16UL * 1024, 1000};

/// Most cores that a node can have.
constexpr double kMostCores = 4096;

} // namespace

RecordFault::Enum readNodePlace(const std::string& _text, NodeAddress& _node)
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
	const bool isShare =
	    0 <= place.cpu_share() && place.cpu_share() <= kMostCores; // false as well for what is no number
	if (!isShare || !isEndpoint(place.address()))
	{
		return RecordFault::AbsurdValue;
	}
	_node = NodeAddress{place.address(), place.hall(), place.cpu_share()};
	return RecordFault::None;
}

} // namespace sedgecart

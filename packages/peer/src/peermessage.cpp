// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "peermessage_p.h"

#include <wire/boundedparse.h>
#include <wire/sedgecart.pb.h>

namespace sedgecart
{

namespace
{

/// Fields of the loads of some ten thousand targets, and of as many records, with room for later versions.
constexpr ParseBound kBound{kMostMessageBytes, 400000};

} // namespace

bool readPeerMessage(std::string_view _bytes, wire::PeerMessage& _message)
{
	return parseBounded(_bytes, kBound, _message);
}

} // namespace sedgecart

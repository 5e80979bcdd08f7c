// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "peermessage_p.h"

#include <wire/boundedparse.h>
#include <wire/sedgecart.pb.h>

namespace sedgecart
{

namespace
{

/// Maximum fields of a message: the loads of ten thousand targets and as many records, with a margin for later
/// versions.
constexpr ParseBound kBound{kMaxMessageBytes, 400000};

} // namespace

bool readPeerMessage(std::string_view _bytes, wire::PeerMessage& _message)
{
	return parseBounded(_bytes, kBound, _message);
}

} // namespace sedgecart

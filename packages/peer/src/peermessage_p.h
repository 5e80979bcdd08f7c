// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_PEER_PEERMESSAGE_P_H_HEADER_GUARD
#define SEDGECART_PEER_PEERMESSAGE_P_H_HEADER_GUARD

#include <cstddef>
#include <string_view>

namespace sedgecart
{

namespace wire
{
class PeerMessage;
} // namespace wire

/// Maximum size of a message between nodes, in bytes: the loads of ten thousand targets and the updates of the store
/// take a few megabytes. A larger message closes the connection that it arrived on.
constexpr std::size_t kMaxMessageBytes = 16UL * 1024 * 1024;

/// Parses a message from the network; the sender may run another version, or not be a node at all.
/// @returns false if the bytes are not a message, or one that exceeds the bounds on size and number of fields.
bool readPeerMessage(std::string_view _bytes, wire::PeerMessage& _message);

} // namespace sedgecart

#endif // SEDGECART_PEER_PEERMESSAGE_P_H_HEADER_GUARD

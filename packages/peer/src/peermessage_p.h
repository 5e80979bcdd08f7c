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

/// Most bytes of a message between nodes: loads of some ten thousand targets and news of the store come to some
/// megabytes. A larger one ends the connection that it came over.
constexpr std::size_t kMostMessageBytes = 16UL * 1024 * 1024;

/// Reads a message of another node, which may be of another version, or no node at all.
/// @returns false if it is none, or one that would take more memory than messages need.
bool readPeerMessage(std::string_view _bytes, wire::PeerMessage& _message);

} // namespace sedgecart

#endif // SEDGECART_PEER_PEERMESSAGE_P_H_HEADER_GUARD

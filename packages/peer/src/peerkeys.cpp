// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <peer/peerlink.h>

#include <zmq.h>

#include <array>

namespace sedgecart
{

namespace
{

constexpr std::size_t kZ85Size = 41; // 40 characters and the terminating zero

} // namespace

PeerKeys makePeerKeys()
{
	std::array<char, kZ85Size> publicKey{};
	std::array<char, kZ85Size> secretKey{};
	zmq_curve_keypair(publicKey.data(), secretKey.data());
	return PeerKeys{publicKey.data(), secretKey.data()};
}

bool isPeerKey(const std::string& _secretKey)
{
	std::array<char, kZ85Size> publicKey{};
	return kZ85Size - 1 == _secretKey.size() && 0 == zmq_curve_public(publicKey.data(), _secretKey.c_str());
}

} // namespace sedgecart

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_PEER_PEERLINK_H_HEADER_GUARD
#define SEDGECART_PEER_PEERLINK_H_HEADER_GUARD

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace sedgecart
{

namespace wire
{
class PeerMessage;
} // namespace wire

/// Handles received messages; the link calls it from its own thread.
class PeerHandlerI
{
public:
	virtual ~PeerHandlerI() = default;

	/// Handles a message of another node.
	/// @param _reply sent back if its body is set; without a body, no reply is sent.
	virtual void onPeerMessage(const wire::PeerMessage& _message, wire::PeerMessage& _reply) = 0;

	/// Called for bytes that are not a message of a node, or that exceed the bounds of one. They are skipped.
	/// @param _bytes size in bytes.
	virtual void onForeignMessage(std::size_t _bytes)
	{
		(void)_bytes;
	}
};

/// Settings of a link.
struct PeerSettings
{
	std::string endpoint;  //!< "ip:port" to listen on.
	std::string secretKey; //!< CURVE secret key shared by all nodes, 40 characters of Z85; empty: no encryption.
};

/// ZeroMQ link to the other nodes: sends messages to one or all of them, and replies to received messages. Delivery is
/// best effort; data that must not be lost goes through the log.
class PeerLink
{
public:
	/// Binds the endpoint and starts the link's thread.
	/// @remarks Throws std::exception if the endpoint cannot be bound or the key is malformed.
	PeerLink(const PeerSettings& _settings, PeerHandlerI& _handler);
	~PeerLink();

	PeerLink(const PeerLink&) = delete;
	PeerLink& operator=(const PeerLink&) = delete;

	/// Connects to the listed nodes, "ip:port" each, and disconnects from all others. Skips malformed addresses; the
	/// caller that reads the addresses must report them. Thread-safe.
	void setPeers(const std::vector<std::string>& _endpoints);

	/// Sends a message to every connected node. Thread-safe.
	void broadcast(const wire::PeerMessage& _message);

	/// Sends a message to the node at an endpoint, if the link is connected to it. Thread-safe.
	void send(const std::string& _endpoint, const wire::PeerMessage& _message);

private:
	class Impl;
	std::unique_ptr<Impl> impl_;
};

/// A pair of CURVE keys, Z85-encoded.
struct PeerKeys
{
	std::string publicKey;
	std::string secretKey;
};

/// @returns a newly generated key pair, to be shared by all nodes of a user.
PeerKeys makePeerKeys();

/// @returns true if the text is a well-formed secret key.
bool isPeerKey(const std::string& _secretKey);

} // namespace sedgecart

#endif // SEDGECART_PEER_PEERLINK_H_HEADER_GUARD

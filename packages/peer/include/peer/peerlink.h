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

/// What a link calls for each message that came, from its own thread.
class PeerHandlerI
{
public:
	virtual ~PeerHandlerI() = default;

	/// @param _reply fill its body to answer; left without a body, nothing is sent.
	virtual void onPeerMessage(const wire::PeerMessage& _message, wire::PeerMessage& _reply) = 0;

	/// Something came that is no message of a node, or a larger one than nodes send. It is passed over.
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

/// ZeroMQ link to the other nodes: messages to one or all, answers to messages that came. Delivery is best effort; what
/// must not be lost goes through the log.
class PeerLink
{
public:
	/// @remarks Throws std::exception when the endpoint cannot be bound or the key is malformed.
	PeerLink(const PeerSettings& _settings, PeerHandlerI& _handler);
	~PeerLink();

	PeerLink(const PeerLink&) = delete;
	PeerLink& operator=(const PeerLink&) = delete;

	/// Connects to the nodes listed, "ip:port" each, and drops the others. Text that is no such address is passed over:
	/// whoever reads addresses from elsewhere tells of it. Safe from any thread.
	void setPeers(const std::vector<std::string>& _endpoints);

	/// Sends to every node. Safe from any thread.
	void broadcast(const wire::PeerMessage& _message);

	/// Sends to the node at an endpoint. Safe from any thread.
	void send(const std::string& _endpoint, const wire::PeerMessage& _message);

private:
	class Impl;
	std::unique_ptr<Impl> impl_;
};

/// A fresh pair of CURVE keys, Z85.
struct PeerKeys
{
	std::string publicKey;
	std::string secretKey;
};

/// @returns new keys for one user's nodes.
PeerKeys makePeerKeys();

/// @returns true if the text can be a secret key.
bool isPeerKey(const std::string& _secretKey);

} // namespace sedgecart

#endif // SEDGECART_PEER_PEERLINK_H_HEADER_GUARD

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_NODE_PEERS_P_H_HEADER_GUARD
#define SEDGECART_NODE_PEERS_P_H_HEADER_GUARD

#include <core/blackboard.h>
#include <core/membersection.h>
#include <peer/peerlink.h>

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace sedgecart
{

class Control;

/// Exchanges heartbeats with the other nodes, and forwards records of the config stream to nodes that are behind.
/// Thread-safe.
class Peers : public PeerHandlerI
{
public:
	/// @param _fixed "ip:port" of nodes that this node always connects to.
	Peers(const NodeIdentity& _self, const PeerSettings& _settings, const std::vector<std::string>& _fixed,
	      Control& _control);
	~Peers() override;

	void onPeerMessage(const wire::PeerMessage& _message, wire::PeerMessage& _reply) override;

	/// Sends a heartbeat to every connected node.
	/// @param _leaving targets that this node knows to be leaving.
	void sendHeartbeat(const std::set<std::string>& _leaving);

	/// Sets the nodes of the VM list and connects to them.
	/// @param _listed "ip:port" of the nodes, by name.
	void setListed(const std::map<std::string, std::string>& _listed);

	/// @returns "ip:port" of the nodes that this node connects to, sorted.
	std::vector<std::string> connectedEndpoints() const;

	/// Marks this node as stopping in all later heartbeats.
	void setStopping()
	{
		stopping_ = true;
	}

private:
	/// Connects to a node that is in no list, such as one that joined while the VM list was unavailable. For a listed
	/// node, the list's address takes precedence over the one in its heartbeat, at which it may not be reachable.
	void addLearned(const std::string& _name, const std::string& _endpoint);
	void connectLocked();
	void onHeartbeat(const wire::PeerMessage& _message, wire::PeerMessage& _reply);
	void onRecordsRequest(const wire::PeerMessage& _message, wire::PeerMessage& _reply);
	void onImage(const wire::PeerMessage& _message);
	void onRecords(const wire::PeerMessage& _message);

	NodeIdentity self_;
	std::string ownEndpoint_;
	Control& control_;
	mutable std::mutex mutex_; //!< Guards the lists.
	std::set<std::string> fixed_;
	std::map<std::string, std::string> listed_; //!< By name.
	std::set<std::string> learned_; //!< Cleared when the list changes; refilled by the heartbeats of running nodes.
	std::vector<std::string> connected_;
	std::atomic<bool> stopping_{false};
	std::unique_ptr<PeerLink> link_; //!< Declared last: it calls back as soon as it is constructed.
};

} // namespace sedgecart

#endif // SEDGECART_NODE_PEERS_P_H_HEADER_GUARD

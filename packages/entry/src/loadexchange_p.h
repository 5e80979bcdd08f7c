// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_ENTRY_LOADEXCHANGE_P_H_HEADER_GUARD
#define SEDGECART_ENTRY_LOADEXCHANGE_P_H_HEADER_GUARD

#include "fleetview_p.h"

#include <base/clock.h>
#include <base/incarnation.h>
#include <peer/peerlink.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace sedgecart
{

class FleetController;

/// Tells the other nodes what this one has under way at each target, and adds up what they tell. Control thread only,
/// but for the link's calls.
class LoadExchange : public PeerHandlerI
{
public:
	/// @param _address "ip:port" to hear the other nodes on.
	/// @remarks Throws std::exception when the address cannot be bound.
	LoadExchange(boost::asio::io_context& _loop, const ClockI& _clock, const FleetController& _fleet,
	             const std::string& _address);

	void start();

	/// Sets the addresses of the other nodes, "ip:port" each.
	void setPeers(const std::vector<std::string>& _addresses);

	void onPeerMessage(const wire::PeerMessage& _message, wire::PeerMessage& _reply) override;

private:
	/// What is under way at one target.
	struct Load
	{
		uint64_t tokenLayers = 0;
		uint32_t requests = 0;
	};

	/// What one node told last.
	struct Told
	{
		std::map<std::string, Load> loads; //!< By instance.
		Time at;
	};

	void tick();
	void tell();
	void addUp();
	void take(const std::string& _node, std::map<std::string, Load>&& _loads);

	boost::asio::io_context& loop_;
	boost::asio::steady_timer timer_;
	const ClockI& clock_;
	const FleetController& fleet_;
	Incarnation incarnation_;
	std::map<std::string, Told> told_; //!< By the node's incarnation.
	std::unique_ptr<PeerLink> link_;
	bool toldLast_ = false; //!< The last word was not empty.
};

} // namespace sedgecart

#endif // SEDGECART_ENTRY_LOADEXCHANGE_P_H_HEADER_GUARD

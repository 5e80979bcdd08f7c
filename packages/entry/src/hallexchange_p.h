// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_ENTRY_HALLEXCHANGE_P_H_HEADER_GUARD
#define SEDGECART_ENTRY_HALLEXCHANGE_P_H_HEADER_GUARD

#include "hallnodes_p.h"
#include "hubfollower_p.h"
#include "loadboard_p.h"
#include "loadreports_p.h"
#include "reportanswers_p.h"

#include <base/clock.h>
#include <peer/peerlink.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <string>
#include <vector>

namespace sedgecart
{

namespace wire
{
class HallAnswer;
} // namespace wire

class PassedOver;
struct EntrySettings;

/// What the nodes tell each other. In each hall one node is the hub: the others report their loads to it several times
/// a second and get back the sum of all nodes' loads and the news of the store, so that few nodes read the store and
/// the traffic grows with the nodes, not with their square. Hubs tell each other their halls' sums. Sends and takes the
/// messages; what they mean is up to HubFollower, LoadReports and ReportAnswers. Control thread only, but for the
/// link's calls.
class HallExchange : public PeerHandlerI
{
public:
	/// @remarks Throws std::exception when the address for other nodes cannot be bound.
	HallExchange(boost::asio::io_context& _loop, const EntrySettings& _settings, const ClockI& _clock,
	             const FleetController& _fleet, HallLog& _log, const TopicCache& _cache);

	void start();

	/// The nodes' places have changed.
	void onNodesChanged();

	/// @returns true while this node is the hub of its hall.
	bool isHub() const
	{
		return hub_.isHub();
	}

	void onPeerMessage(const wire::PeerMessage& _message, wire::PeerMessage& _reply) override;
	void onForeignMessage(std::size_t _bytes) override;

private:
	void tick();
	void report(const std::string& _hub, const LoadTable& _own);
	void addUp(const LoadTable& _own);
	void tellHubs(const LoadTable& _hall);
	void connect(const std::vector<std::string>& _addresses);
	void onAnswer(const wire::HallAnswer& _answer);

	boost::asio::io_context& loop_;
	boost::asio::steady_timer timer_;
	std::string name_;
	std::string hall_;
	const ClockI& clock_;
	PassedOver& passedOver_;
	HallNodes nodes_;
	HubFollower hub_;
	LoadReports reports_;
	LoadBoard board_;
	ReportAnswers answers_;
	std::vector<std::string> connected_; //!< Addresses.
	std::unique_ptr<PeerLink> link_;
};

} // namespace sedgecart

#endif // SEDGECART_ENTRY_HALLEXCHANGE_P_H_HEADER_GUARD

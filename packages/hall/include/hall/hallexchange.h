// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

/// \file
/// Package `hall`: the nodes of one data hall among themselves, and halls with each other.
///
/// One node of a hall, its hub (`core/hubchoice`), reads the store; the others ask it for news seven times a second and
/// tell it their loads (`HallExchange`). `HallLog` stands between a follower and the store: a read waits for the hub's
/// next answer, and goes to the store itself when no hub answers in time. `TopicCache` keeps what was read, so that a
/// node that starts loads whole topics from its hub, packed and paced. Hubs tell each other sums. Every answer says how
/// old its proof was, so that a delay makes nothing look newer than it is.

#ifndef SEDGECART_HALL_HALLEXCHANGE_H_HEADER_GUARD
#define SEDGECART_HALL_HALLEXCHANGE_H_HEADER_GUARD

#include <aio/timer.h>
#include <base/clock.h>
#include <hall/hallnodes.h>
#include <hall/hubfollower.h>
#include <hall/reportanswers.h>
#include <loads/loadboard.h>
#include <loads/loadreports.h>
#include <peer/peerlink.h>

#include <boost/asio/io_context.hpp>

#include <memory>
#include <string>
#include <vector>

namespace sedgecart
{

namespace wire
{
class CrashNews;
class HallAnswer;
} // namespace wire

class CrashKeeper;
struct CrashNews;
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
	             const FleetController& _fleet, CrashKeeper& _crashes, HallLog& _log, const TopicCache& _cache);

	void start();

	/// There is something that others are to know before the next report is due.
	void hurry();

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
	/// Addresses of the nodes that this one talks to.
	struct Peers
	{
		std::string hub;               //!< Of this hall; empty if this node is its own hub.
		std::vector<std::string> hubs; //!< Of the other halls, if this node is a hub.
		std::vector<std::string> told; //!< That this node reads the store.
	};

	void tick();
	void tickAfter(Duration _pause);
	Peers peersOf(const Hub& _hub) const;
	void connect(const Peers& _peers);
	LoadTable addUp(const LoadTable& _own);
	wire::PeerMessage sumOf(const LoadTable& _hall) const;
	void report(const std::string& _address, const LoadTable& _own);
	void tellNodes(const std::vector<std::string>& _addresses);
	void send(const std::vector<std::string>& _addresses, const wire::PeerMessage& _message);
	std::vector<std::string> addressesOf(const std::vector<std::string>& _nodes) const;
	void noteFollowed(const std::string& _node);
	void onAnswer(const wire::HallAnswer& _answer);
	void takeCrashNews(const wire::CrashNews& _news, void (CrashKeeper::*_take)(const CrashNews&));

	boost::asio::io_context& loop_;
	Timer timer_;
	std::string name_;
	std::string hall_;
	const ClockI& clock_;
	PassedOver& passedOver_;
	CrashKeeper& crashes_;
	HallNodes nodes_;
	HubFollower hub_;
	LoadReports reports_;
	LoadBoard board_;
	ReportAnswers answers_;
	std::vector<std::string> connected_; //!< Addresses.
	Time tickedAt_;
	std::unique_ptr<PeerLink> link_;
};

} // namespace sedgecart

#endif // SEDGECART_HALL_HALLEXCHANGE_H_HEADER_GUARD

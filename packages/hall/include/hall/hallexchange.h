// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

/// \file
/// Package `hall`: the protocol between the nodes of one data hall, and between the hubs of several halls.
///
/// One node of a hall, its hub (`core/hubselector`), reads the store. The other nodes report their loads to it and
/// request updates from it several times a second (`HallExchange`, `core/reportschedule`). `HallLog` sits between a
/// follower and the store: a read waits for the hub's next answer, and is sent to the store when no hub answers in
/// time. `TopicCache` retains the records read, so that a starting node loads whole topics from its hub, compressed and
/// rate-limited. Hubs exchange the load sums of their halls. Every answer carries the age of the store read that
/// confirms it, so that a delay in transit makes no state look newer than it is.

#ifndef SEDGECART_HALL_HALLEXCHANGE_H_HEADER_GUARD
#define SEDGECART_HALL_HALLEXCHANGE_H_HEADER_GUARD

#include <aio/timer.h>
#include <base/clock.h>
#include <core/reportschedule.h>
#include <hall/capacityexchange.h>
#include <hall/hallnodes.h>
#include <hall/hubfollower.h>
#include <hall/reportresponder.h>
#include <loads/loadaggregator.h>
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

class CrashCoordinator;
class Metrics;
struct CrashUpdate;
class SkippedRecords;
struct EntrySettings;

/// Exchanges messages between nodes. In each hall one node is the hub: the others report their loads to it several
/// times a second and receive the sum of all nodes' loads and the updates of the store, so that few nodes read the
/// store and the traffic grows linearly with the number of nodes instead of quadratically. Hubs send each other the
/// sums of their halls. This class sends and receives the messages; HubFollower, LoadReports and ReportResponder
/// interpret them. Control thread only, except for the calls of the link.
class HallExchange : public PeerHandlerI, public RegistrySourceI, public HubListenerI
{
public:
	/// @remarks Throws std::exception when the address for other nodes cannot be bound.
	HallExchange(boost::asio::io_context& _loop, const EntrySettings& _settings, const ClockI& _clock,
	             const FleetController& _fleet, CrashCoordinator& _crashes, HallLog& _log, const TopicCache& _cache);

	void start();

	/// Sets where decisions are counted. Must be called before `start`.
	void setMetrics(Metrics& _metrics)
	{
		capacity_.setMetrics(_metrics);
	}

	/// Advances the next report, because there is something that the other nodes must learn before it is due.
	void reportSoon();

	/// Updates the candidates for the hub after the registry of nodes has changed.
	void onNodesChanged();

	/// @returns true while this node is the hub of its hall.
	bool isHub() const
	{
		return hub_.isHub();
	}

	void onHubChanged() override;
	bool requestRegistry() override;
	void onPeerMessage(const wire::PeerMessage& _message, wire::PeerMessage& _reply) override;
	void onForeignMessage(std::size_t _bytes) override;

private:
	/// Addresses of the nodes to which this one sends messages.
	struct Peers
	{
		std::string hub;                   //!< The hub of this hall; empty if this node is its own hub.
		std::vector<std::string> hubs;     //!< Hubs of the other halls, if this node is a hub.
		std::vector<std::string> notified; //!< Nodes to notify that this node reads the store.
		std::vector<std::string> probed;   //!< Nodes that must answer a probe.
	};

	void probeNodes();
	void tick();
	void scheduleTick(Duration _pause);
	Peers peersOf(const Hub& _hub) const;
	void connect(const Peers& _peers);
	LoadTable updateTotals(const LoadTable& _own);
	wire::PeerMessage makeSumMessage(const LoadTable& _hall);
	void sendReport(const std::string& _address, const LoadTable& _own);
	void sendRegistryRequest();
	void onRegistryAnswer(const wire::HallAnswer& _answer);
	void notifyNodes(const std::vector<std::string>& _addresses);
	void send(const std::vector<std::string>& _addresses, const wire::PeerMessage& _message);
	std::vector<std::string> addressesOf(const std::vector<std::string>& _nodes) const;
	void onFollower(const std::string& _node);
	void onAnswer(const wire::HallAnswer& _answer);
	void applyCrashUpdates(const wire::CrashNews& _updates, void (CrashCoordinator::*_apply)(const CrashUpdate&));

	boost::asio::io_context& loop_;
	Timer timer_;
	std::string name_;
	std::string hall_;
	const ClockI& clock_;
	SkippedRecords& skippedRecords_;
	CrashCoordinator& crashes_;
	HallLog& log_;
	HallNodes nodes_;
	HubFollower hub_;
	ReportSchedule schedule_;
	LoadReports reports_;
	LoadAggregator aggregator_;
	CapacityExchange capacity_;
	ReportResponder responder_;
	std::vector<std::string> connected_; //!< Addresses.
	std::string reportedTo_;             //!< Address that the last report was sent to.
	bool isUrgent_ = false;              //!< The next step carries a report.
	bool isStarted_ = false;
	std::size_t registryRequests_ = 0; //!< Sent since the node started.
	Time lastTickAt_;
	std::unique_ptr<PeerLink> link_;
};

} // namespace sedgecart

#endif // SEDGECART_HALL_HALLEXCHANGE_H_HEADER_GUARD

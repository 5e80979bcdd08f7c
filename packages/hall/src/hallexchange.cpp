// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <hall/hallexchange.h>

#include "reportnumber_p.h"
#include "topicupdate_p.h"

#include <base/digest.h>
#include <crash/crashcoordinator.h>
#include <fleet/fleetcontroller.h>
#include <fleet/skippedrecords.h>
#include <loads/loadrows.h>
#include <settings/entrysettings.h>
#include <wire/sedgecart.pb.h>

#include <boost/asio/post.hpp>

#include <algorithm>
#include <chrono>

namespace sedgecart
{

namespace
{

/// Interval after which an advanced report is sent: changes that arrive together are reported together.
constexpr Duration kEarlyReportPause = Duration::fromMillis(15);

} // namespace

HallExchange::HallExchange(boost::asio::io_context& _loop, const EntrySettings& _settings, const ClockI& _clock,
                           const FleetController& _fleet, CrashCoordinator& _crashes, HallLog& _log,
                           const TopicCache& _cache)
    : loop_(_loop),
      timer_(_loop),
      name_(_settings.name),
      hall_(_settings.hall),
      clock_(_clock),
      skippedRecords_(_fleet.skippedRecords()),
      crashes_(_crashes),
      log_(_log),
      nodes_(_fleet),
      hub_(_settings.name, _settings.cpuShare, _clock, _log),
      reports_(_fleet, _clock),
      capacity_(_loop, _settings, _clock, _fleet,
                [this]
                {
	                reportSoon();
                }),
      responder_(_settings, _clock, hub_, aggregator_, _cache)
{
	responder_.setCapacityHub(capacity_.hub());
	hub_.setListener(*this);
	hub_.shareTries(_settings.mechanisms.isEnabled(Mechanism::SharedTries));
	PeerSettings settings;
	settings.endpoint = peerAddress(_settings);
	link_ = std::make_unique<PeerLink>(settings, *this);
}

void HallExchange::start()
{
	isStarted_ = true;
	tick();
}

void HallExchange::onNodesChanged()
{
	std::vector<HubCandidate> candidates = nodes_.candidates(hall_);
	schedule_.setHallSize(candidates.size());
	aggregator_.setReportInterval(schedule_.pause());
	hub_.setCandidates(std::move(candidates));
}

/// Nodes of a large fleet that start together would load its whole registry from the store: bytes that grow with the
/// square of the nodes.
bool HallExchange::requestRegistry()
{
	const std::vector<std::string> sources = nodes_.registrySources();
	const bool isSource = sources.end() != std::find(sources.begin(), sources.end(), name_);
	if (isStarted_ || isSource || sources.empty())
	{
		return false;
	}
	scheduleTick(Duration{}); // the load begins to wait only after this call
	return true;
}

/// Asks the sources in turn, beginning with one that depends on this node's name.
void HallExchange::sendRegistryRequest()
{
	const std::vector<std::string> sources = nodes_.registrySources();
	if (sources.empty())
	{
		return;
	}
	const std::string& source = sources[(hash64(name_) + registryRequests_++) % sources.size()];
	wire::PeerMessage message;
	wire::HallReport& report = *message.mutable_hall_report();
	report.set_node(name_);
	report.set_number(kUncountedReport);
	report.set_takes_changes(true);
	wire::TopicQuestion& query = *report.add_questions();
	query.set_topic(KeyedTopic::Nodes);
	query.set_whole(true);
	const std::string address = nodes_.addressOf(source);
	Peers peers;
	peers.hub = address;
	connect(peers);
	link_->send(address, message);
}

/// Sends empty reports, which each node answers that runs.
void HallExchange::probeNodes()
{
	wire::PeerMessage message;
	message.mutable_hall_report()->set_node(name_);
	message.mutable_hall_report()->set_number(kUncountedReport);
	message.mutable_hall_report()->set_takes_changes(true);
	send(addressesOf(hub_.takeDueProbes()), message);
}

void HallExchange::tick()
{
	lastTickAt_ = clock_.now();
	if (!isStarted_)
	{
		if (log_.awaitsRegistry())
		{
			sendRegistryRequest();
			scheduleTick(ReportSchedule::kStep);
		}
		return;
	}
	const Hub& hub = hub_.update();
	const bool isHub = hub_.isHub();
	const Peers peers = peersOf(hub);
	connect(peers);
	crashes_.tick(hub.name);
	capacity_.beginStep(isHub ? name_ : hub.name);
	const LoadTable own = reports_.own();
	if (isHub)
	{
		const LoadTable hall = updateTotals(own);
		capacity_.updateHall(aggregator_.totals()->loads, hall, peers.hubs.size());
		send(peers.hubs, makeSumMessage(hall));
	}
	const bool isUrgent = isUrgent_ || isHub || hub_.isLoading() || reportedTo_ != peers.hub ||
	                      reports_.hasChanged(own) || capacity_.isReportDue();
	if (!peers.hub.empty() && schedule_.isDue(isUrgent, lastTickAt_))
	{
		schedule_.onReport(lastTickAt_);
		sendReport(peers.hub,
		           isHub ? LoadTable{} : own); // a hub that reads through another one computes the sum itself
	}
	reportedTo_ = peers.hub;
	isUrgent_ = false;
	notifyNodes(peers.notified);
	probeNodes();
	scheduleTick(ReportSchedule::kStep);
}

void HallExchange::reportSoon()
{
	isUrgent_ = true;
	const Duration since = clock_.now() - lastTickAt_;
	scheduleTick(std::max(Duration{}, Duration{kEarlyReportPause.micros - since.micros}));
}

void HallExchange::onHubChanged()
{
	if (isStarted_)
	{
		reportSoon();
	}
}

void HallExchange::scheduleTick(Duration _pause)
{
	timer_.expires_after(std::chrono::microseconds(_pause.micros));
	timer_.async_wait(
	    [this](const boost::system::error_code& _error)
	    {
		    if (!_error)
		    {
			    tick();
		    }
	    });
}

HallExchange::Peers HallExchange::peersOf(const Hub& _hub) const
{
	Peers peers;
	if (hub_.isHub())
	{
		peers.hubs = addressesOf(nodes_.hubsOfOtherHalls(hall_, aggregator_.hubs(clock_.now())));
	}
	if (name_ != _hub.name)
	{
		peers.hub = nodes_.addressOf(_hub.name); // empty if it has just left the registry of nodes
	}
	peers.notified = addressesOf(hub_.nodesToNotify());
	peers.probed = addressesOf(hub_.probedNodes());
	return peers;
}

void HallExchange::sendReport(const std::string& _address, const LoadTable& _own)
{
	wire::PeerMessage message;
	wire::HallReport& report = *message.mutable_hall_report();
	hub_.fillReport(report);
	report.set_takes_changes(true);
	report.set_totals_version(reports_.versionOf(hub_.hub().name));
	putLoadRows(_own, clock_.now(), *report.mutable_loads());
	putCrashUpdate(crashes_.reportUpdate(), *report.mutable_crash_news());
	capacity_.fillReport(report);
	link_->send(_address, message);
	reports_.recordSent(report.number(), _own);
}

/// Computes the totals and applies them to this node.
/// @returns the loads of this hall.
LoadTable HallExchange::updateTotals(const LoadTable& _own)
{
	LoadTable hall = aggregator_.updateTotals(_own, clock_.now());
	reports_.setTotals(aggregator_.totals()->loads, _own);
	return hall;
}

wire::PeerMessage HallExchange::makeSumMessage(const LoadTable& _hall)
{
	wire::PeerMessage message;
	message.mutable_hall_sum()->set_node(name_);
	putLoadRows(_hall, clock_.now(), *message.mutable_hall_sum()->mutable_loads());
	putCrashUpdate(crashes_.sumUpdate(), *message.mutable_hall_sum()->mutable_crash_news());
	capacity_.hub().fillOffers(*message.mutable_hall_sum());
	return message;
}

/// Notifies nodes that this one reads the store, by an answer without a number.
void HallExchange::notifyNodes(const std::vector<std::string>& _addresses)
{
	wire::PeerMessage message;
	wire::HallAnswer& notice = *message.mutable_hall_answer();
	notice.set_node(name_);
	notice.set_is_hub(true);
	notice.set_reads(true);
	send(_addresses, message);
}

void HallExchange::send(const std::vector<std::string>& _addresses, const wire::PeerMessage& _message)
{
	for (const std::string& address : _addresses)
	{
		link_->send(address, _message);
	}
}

/// @returns the addresses of those of the nodes that are registered.
std::vector<std::string> HallExchange::addressesOf(const std::vector<std::string>& _nodes) const
{
	std::vector<std::string> addresses;
	for (const std::string& node : _nodes)
	{
		const std::string address = nodes_.addressOf(node);
		if (!address.empty())
		{
			addresses.push_back(address);
		}
	}
	return addresses;
}

void HallExchange::connect(const Peers& _peers)
{
	std::vector<std::string> addresses = _peers.hubs;
	addresses.insert(addresses.end(), _peers.notified.begin(), _peers.notified.end());
	addresses.insert(addresses.end(), _peers.probed.begin(), _peers.probed.end());
	if (!_peers.hub.empty())
	{
		addresses.push_back(_peers.hub);
	}
	if (connected_ != addresses)
	{
		connected_ = addresses;
		link_->setPeers(connected_);
	}
}

/// Called on the link's thread.
void HallExchange::onPeerMessage(const wire::PeerMessage& _message, wire::PeerMessage& _reply)
{
	if (_message.has_hall_report())
	{
		responder_.answer(_message.hall_report(), *_reply.mutable_hall_answer());
		crashes_.writeAnswer(*_reply.mutable_hall_answer()->mutable_crash_news());
		applyCrashUpdates(_message.hall_report().crash_news(), &CrashCoordinator::applyReport);
		if (kUncountedReport != _message.hall_report().number())
		{
			onFollower(_message.hall_report().node());
		}
	}
	else if (_message.has_hall_sum())
	{
		const wire::HallSum& sum = _message.hall_sum();
		aggregator_.onSum(sum.node(), loadTableOf(sum.loads(), clock_.now()), clock_.now());
		capacity_.hub().onSum(sum);
		applyCrashUpdates(sum.crash_news(), &CrashCoordinator::applySum);
	}
	else if (_message.has_hall_answer())
	{
		boost::asio::post(loop_,
		                  [this, answer = _message.hall_answer()]
		                  {
			                  onAnswer(answer);
		                  });
	}
}

/// Called on the link's thread.
void HallExchange::applyCrashUpdates(const wire::CrashNews& _updates,
                                     void (CrashCoordinator::*_apply)(const CrashUpdate&))
{
	CrashUpdate updates = crashUpdateOf(_updates);
	if (updates.empty())
	{
		return;
	}
	boost::asio::post(loop_,
	                  [this, updates = std::move(updates), _apply]
	                  {
		                  (crashes_.*_apply)(updates);
	                  });
}

/// Called on the link's thread.
void HallExchange::onForeignMessage(std::size_t)
{
	skippedRecords_.onTransientSkip(RecordKind::PeerMessage, "link", RecordFault::Unreadable);
}

/// Called on the link's thread.
void HallExchange::onFollower(const std::string& _node)
{
	if (!hub_.isHub())
	{
		return;
	}
	boost::asio::post(loop_,
	                  [this, _node]
	                  {
		                  hub_.onFollower(_node);
	                  });
}

/// Handles the answer to a request for the registry; a node that has not loaded it answers without updates.
void HallExchange::onRegistryAnswer(const wire::HallAnswer& _answer)
{
	for (const wire::TopicNews& update : _answer.news())
	{
		if (isKnownTopic(update.topic()))
		{
			log_.onRegistry(topicUpdateOf(update));
		}
	}
}

void HallExchange::onAnswer(const wire::HallAnswer& _answer)
{
	if (kUncountedReport == _answer.number())
	{
		onRegistryAnswer(_answer);
		hub_.onProbeAnswered(_answer.node());
		return;
	}
	if (0 == _answer.number())
	{
		hub_.onReader(_answer.node()); // a notice, not an answer to a report
		return;
	}
	if (hub_.applyAnswer(_answer) && _answer.is_hub() && !hub_.isHub())
	{
		LoadUpdate update;
		update.version = _answer.totals_version();
		update.base = _answer.totals_base();
		update.rows = std::make_shared<const LoadTable>(loadTableOf(_answer.totals(), clock_.now()));
		reports_.applyTotals(_answer.node(), update, _answer.counted());
		crashes_.applyAnswer(crashUpdateOf(_answer.crash_news()));
		capacity_.applyAnswer(_answer);
	}
}

} // namespace sedgecart

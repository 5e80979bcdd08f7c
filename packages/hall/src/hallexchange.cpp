// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <hall/hallexchange.h>

#include <crash/crashkeeper.h>
#include <fleet/fleetcontroller.h>
#include <fleet/passedover.h>
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

/// Between two reports. A stream takes about two seconds, so that loads change by a tenth until a total is back; news
/// of the store are late by as much.
constexpr Duration kReportPause = Duration::fromMillis(150);

/// The same where there is something that others are to know at once: what is learned together is told together.
constexpr Duration kHurriedPause = Duration::fromMillis(15);

} // namespace

HallExchange::HallExchange(boost::asio::io_context& _loop, const EntrySettings& _settings, const ClockI& _clock,
                           const FleetController& _fleet, CrashKeeper& _crashes, HallLog& _log,
                           const TopicCache& _cache)
    : loop_(_loop),
      timer_(_loop),
      name_(_settings.name),
      hall_(_settings.hall),
      clock_(_clock),
      passedOver_(_fleet.passedOver()),
      crashes_(_crashes),
      nodes_(_fleet),
      hub_(_settings.name, _clock, _log),
      reports_(_fleet, _clock),
      answers_(_settings, _clock, hub_, board_, _cache)
{
	hub_.shareTries(_settings.mechanisms.on(Mechanism::SharedTries));
	PeerSettings settings;
	settings.endpoint = peerAddress(_settings);
	link_ = std::make_unique<PeerLink>(settings, *this);
}

void HallExchange::start()
{
	tick();
}

void HallExchange::onNodesChanged()
{
	hub_.setCandidates(nodes_.candidates(hall_));
}

void HallExchange::tick()
{
	tickedAt_ = clock_.now();
	const Hub& hub = hub_.update();
	const bool isHub = hub_.isHub();
	const Peers peers = peersOf(hub);
	connect(peers);
	crashes_.tick(hub.name);
	const LoadTable own = reports_.own();
	if (isHub)
	{
		send(peers.hubs, sumOf(addUp(own)));
	}
	if (!peers.hub.empty())
	{
		report(peers.hub, isHub ? LoadTable{} : own); // a hub that reads through another one adds up itself
	}
	tellNodes(peers.told);
	tickAfter(kReportPause);
}

void HallExchange::hurry()
{
	const Duration since = clock_.now() - tickedAt_;
	tickAfter(std::max(Duration{}, Duration{kHurriedPause.micros - since.micros}));
}

void HallExchange::tickAfter(Duration _pause)
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
		peers.hubs = addressesOf(nodes_.hubsOutside(hall_, board_.hubs(clock_.now())));
	}
	if (name_ != _hub.name)
	{
		peers.hub = nodes_.addressOf(_hub.name); // empty if it left the registry of nodes a moment ago
	}
	peers.told = addressesOf(hub_.toldNodes());
	return peers;
}

void HallExchange::report(const std::string& _address, const LoadTable& _own)
{
	wire::PeerMessage message;
	wire::HallReport& report = *message.mutable_hall_report();
	hub_.beginReport(report);
	putLoadRows(_own, clock_.now(), *report.mutable_loads());
	putCrashNews(crashes_.forReport(), *report.mutable_crash_news());
	link_->send(_address, message);
	reports_.keep(report.number(), _own);
}

/// @returns the loads of this hall.
LoadTable HallExchange::addUp(const LoadTable& _own)
{
	LoadTable hall = board_.addUp(_own, clock_.now());
	LoadTable others = board_.totals()->loads;
	subtractLoads(others, _own);
	reports_.setOthers(others, _own);
	return hall;
}

wire::PeerMessage HallExchange::sumOf(const LoadTable& _hall) const
{
	wire::PeerMessage message;
	message.mutable_hall_sum()->set_node(name_);
	putLoadRows(_hall, clock_.now(), *message.mutable_hall_sum()->mutable_loads());
	putCrashNews(crashes_.forSum(), *message.mutable_hall_sum()->mutable_crash_news());
	return message;
}

/// Tells that this node reads the store, in an answer without a number.
void HallExchange::tellNodes(const std::vector<std::string>& _addresses)
{
	wire::PeerMessage message;
	wire::HallAnswer& word = *message.mutable_hall_answer();
	word.set_node(name_);
	word.set_is_hub(true);
	word.set_reads(true);
	send(_addresses, message);
}

void HallExchange::send(const std::vector<std::string>& _addresses, const wire::PeerMessage& _message)
{
	for (const std::string& address : _addresses)
	{
		link_->send(address, _message);
	}
}

/// @returns the addresses of those that are in the registry of nodes.
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
	addresses.insert(addresses.end(), _peers.told.begin(), _peers.told.end());
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

/// Link's thread.
void HallExchange::onPeerMessage(const wire::PeerMessage& _message, wire::PeerMessage& _reply)
{
	if (_message.has_hall_report())
	{
		answers_.answer(_message.hall_report(), *_reply.mutable_hall_answer());
		crashes_.putAnswer(*_reply.mutable_hall_answer()->mutable_crash_news());
		takeCrashNews(_message.hall_report().crash_news(), &CrashKeeper::takeReport);
		noteFollowed(_message.hall_report().node());
	}
	else if (_message.has_hall_sum())
	{
		const wire::HallSum& sum = _message.hall_sum();
		board_.takeSum(sum.node(), loadTableOf(sum.loads(), clock_.now()), clock_.now());
		takeCrashNews(sum.crash_news(), &CrashKeeper::takeSum);
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

/// Link's thread.
void HallExchange::takeCrashNews(const wire::CrashNews& _news, void (CrashKeeper::*_take)(const CrashNews&))
{
	CrashNews news = crashNewsOf(_news);
	if (news.empty())
	{
		return;
	}
	boost::asio::post(loop_,
	                  [this, news = std::move(news), _take]
	                  {
		                  (crashes_.*_take)(news);
	                  });
}

/// Link's thread.
void HallExchange::onForeignMessage(std::size_t)
{
	passedOver_.notePassing(RecordKind::PeerMessage, "link", RecordFault::Unreadable);
}

/// Link's thread.
void HallExchange::noteFollowed(const std::string& _node)
{
	if (!hub_.isHub())
	{
		return;
	}
	boost::asio::post(loop_,
	                  [this, _node]
	                  {
		                  hub_.noteFollowed(_node);
	                  });
}

void HallExchange::onAnswer(const wire::HallAnswer& _answer)
{
	if (0 == _answer.number())
	{
		hub_.noteReader(_answer.node()); // it answers nothing, and only tells
		return;
	}
	if (hub_.takeAnswer(_answer) && _answer.is_hub() && !hub_.isHub())
	{
		reports_.takeTotals(loadTableOf(_answer.totals(), clock_.now()), _answer.counted());
		crashes_.takeAnswer(crashNewsOf(_answer.crash_news()));
	}
}

} // namespace sedgecart

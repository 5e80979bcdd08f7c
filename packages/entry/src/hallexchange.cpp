// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "hallexchange_p.h"

#include "fleetcontroller_p.h"
#include "loadrows_p.h"
#include "passedover_p.h"

#include <entry/entrysettings.h>
#include <wire/sedgecart.pb.h>

#include <boost/asio/post.hpp>

#include <chrono>

namespace sedgecart
{

namespace
{

/// Between two reports. A stream takes about two seconds, so that loads change by a tenth until a total is back; news
/// of the store are late by as much.
constexpr Duration kReportPause = Duration::fromMillis(150);

} // namespace

HallExchange::HallExchange(boost::asio::io_context& _loop, const EntrySettings& _settings, const ClockI& _clock,
                           const FleetController& _fleet, HallLog& _log, const TopicCache& _cache)
    : loop_(_loop),
      timer_(_loop),
      name_(_settings.name),
      hall_(_settings.hall),
      clock_(_clock),
      passedOver_(_fleet.passedOver()),
      nodes_(_fleet),
      hub_(_settings.name, _clock, _log),
      reports_(_fleet, _clock),
      answers_(_settings, _clock, hub_, board_, _cache)
{
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
	const Hub& hub = hub_.update();
	const LoadTable own = reports_.own();
	if (name_ == hub.name)
	{
		addUp(own);
	}
	else
	{
		report(hub.name, own);
	}
	timer_.expires_after(std::chrono::microseconds(kReportPause.micros));
	timer_.async_wait(
	    [this](const boost::system::error_code& _error)
	    {
		    if (!_error)
		    {
			    tick();
		    }
	    });
}

void HallExchange::report(const std::string& _hub, const LoadTable& _own)
{
	const std::string address = nodes_.addressOf(_hub);
	if (address.empty())
	{
		return; // it left the registry of nodes a moment ago
	}
	connect({address});
	wire::PeerMessage message;
	wire::HallReport& report = *message.mutable_hall_report();
	hub_.beginReport(report);
	putLoadRows(_own, *report.mutable_loads());
	link_->send(address, message);
	reports_.keep(report.number(), _own);
}

void HallExchange::addUp(const LoadTable& _own)
{
	const LoadTable hall = board_.addUp(_own, clock_.now());
	LoadTable others = board_.totals()->loads;
	subtractLoads(others, _own);
	reports_.setOthers(others);
	tellHubs(hall);
}

void HallExchange::tellHubs(const LoadTable& _hall)
{
	std::vector<std::string> addresses;
	for (const std::string& hub : nodes_.hubsOutside(hall_, board_.hubs(clock_.now())))
	{
		addresses.push_back(nodes_.addressOf(hub)); // each is in the registry of nodes
	}
	connect(addresses);
	if (addresses.empty())
	{
		return;
	}
	wire::PeerMessage message;
	message.mutable_hall_sum()->set_node(name_);
	putLoadRows(_hall, *message.mutable_hall_sum()->mutable_loads());
	for (const std::string& address : addresses)
	{
		link_->send(address, message);
	}
}

void HallExchange::connect(const std::vector<std::string>& _addresses)
{
	if (connected_ != _addresses)
	{
		connected_ = _addresses;
		link_->setPeers(connected_);
	}
}

/// Link's thread.
void HallExchange::onPeerMessage(const wire::PeerMessage& _message, wire::PeerMessage& _reply)
{
	if (_message.has_hall_report())
	{
		answers_.answer(_message.hall_report(), *_reply.mutable_hall_answer());
	}
	else if (_message.has_hall_sum())
	{
		const wire::HallSum& sum = _message.hall_sum();
		board_.takeSum(sum.node(), loadTableOf(sum.loads()), clock_.now());
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
void HallExchange::onForeignMessage(std::size_t)
{
	passedOver_.notePassing(RecordKind::PeerMessage, "link", RecordFault::Unreadable);
}

void HallExchange::onAnswer(const wire::HallAnswer& _answer)
{
	if (hub_.takeAnswer(_answer) && _answer.is_hub())
	{
		reports_.takeTotals(loadTableOf(_answer.totals()), _answer.counted());
	}
}

} // namespace sedgecart

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "loadexchange_p.h"

#include "fleetcontroller_p.h"

#include <wire/sedgecart.pb.h>

#include <boost/asio/post.hpp>

#include <chrono>

namespace sedgecart
{

namespace
{

/// Between two words to the others. A stream takes about two seconds, so that loads change by a tenth meanwhile.
constexpr Duration kTellPause = Duration::fromMillis(200);

/// A node that was not heard for so long counts no more: some words may be lost.
constexpr Duration kHeardFor = Duration::fromMillis(1500);

} // namespace

LoadExchange::LoadExchange(boost::asio::io_context& _loop, const ClockI& _clock, const FleetController& _fleet,
                           const std::string& _address)
    : loop_(_loop),
      timer_(_loop),
      clock_(_clock),
      fleet_(_fleet)
{
	PeerSettings settings;
	settings.endpoint = _address;
	link_ = std::make_unique<PeerLink>(settings, *this);
}

void LoadExchange::start()
{
	tick();
}

void LoadExchange::setPeers(const std::vector<std::string>& _addresses)
{
	link_->setPeers(_addresses);
}

void LoadExchange::onPeerMessage(const wire::PeerMessage& _message, wire::PeerMessage&)
{
	if (!_message.has_fleet_load())
	{
		return;
	}
	std::map<std::string, Load> loads;
	for (const wire::FleetLoadRow& row : _message.fleet_load().rows())
	{
		loads[row.target()] = Load{row.token_layers(), row.requests()};
	}
	boost::asio::post(loop_,
	                  [this, node = _message.from(), loads = std::move(loads)]() mutable
	                  {
		                  take(node, std::move(loads));
	                  });
}

void LoadExchange::take(const std::string& _node, std::map<std::string, Load>&& _loads)
{
	if (incarnation_.text() != _node)
	{
		told_[_node] = Told{std::move(_loads), clock_.now()};
	}
}

void LoadExchange::tick()
{
	tell();
	addUp();
	timer_.expires_after(std::chrono::microseconds(kTellPause.micros));
	timer_.async_wait(
	    [this](const boost::system::error_code& _error)
	    {
		    if (!_error)
		    {
			    tick();
		    }
	    });
}

void LoadExchange::tell()
{
	wire::PeerMessage message;
	message.set_from(incarnation_.text());
	wire::FleetLoad* const load = message.mutable_fleet_load();
	for (const auto& row : fleet_.loads())
	{
		const uint64_t tokenLayers = row.second->tokenLayers.load(std::memory_order_relaxed);
		const uint32_t requests = row.second->requests.load(std::memory_order_relaxed);
		if (0 == tokenLayers && 0 == requests)
		{
			continue;
		}
		wire::FleetLoadRow* const told = load->add_rows();
		told->set_target(row.first);
		told->set_token_layers(tokenLayers);
		told->set_requests(requests);
	}
	const bool any = 0 < load->rows_size();
	if (any || toldLast_)
	{
		link_->broadcast(message);
	}
	toldLast_ = any;
}

void LoadExchange::addUp()
{
	const Time now = clock_.now();
	std::map<std::string, Load> sums;
	for (auto row = told_.begin(); told_.end() != row;)
	{
		if (row->second.at + kHeardFor < now)
		{
			row = told_.erase(row);
			continue;
		}
		for (const auto& load : row->second.loads)
		{
			sums[load.first].tokenLayers += load.second.tokenLayers;
			sums[load.first].requests += load.second.requests;
		}
		++row;
	}
	for (const auto& row : fleet_.loads())
	{
		const Load sum = sums[row.first];
		row.second->othersTokenLayers.store(sum.tokenLayers, std::memory_order_relaxed);
		row.second->othersRequests.store(sum.requests, std::memory_order_relaxed);
	}
}

} // namespace sedgecart

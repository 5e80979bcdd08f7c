// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <core/routetable.h>

#include <algorithm>
#include <iterator>

namespace sedgecart
{

namespace
{

constexpr double kDrawRange = 18446744073709551616.0; // 2^64

/// Targets are told urgencies of one digit.
constexpr uint32_t kMaxRank = 9;

char lower(char _letter)
{
	return 'A' <= _letter && _letter <= 'Z' ? static_cast<char>(_letter - 'A' + 'a') : _letter;
}

/// @returns the host in lower case, without a port.
std::string hostKey(std::string_view _host)
{
	std::string key(_host.substr(0, _host.find(':')));
	std::transform(key.begin(), key.end(), key.begin(), lower);
	return key;
}

/// @returns the urgencies of streams by service, of services that have several.
std::map<std::string, std::set<uint32_t>> prioritizedServices(const DesiredState& _state)
{
	std::map<std::string, std::set<uint32_t>> urgencies;
	for (const HostRoute& route : _state.routes)
	{
		for (const WeightedService& service : route.services)
		{
			if (RequestKind::Stream == route.kind)
			{
				urgencies[service.service].insert(route.urgency);
			}
		}
	}
	for (auto row = urgencies.begin(); urgencies.end() != row;)
	{
		row = row->second.size() < 2 ? urgencies.erase(row) : std::next(row);
	}
	return urgencies;
}

bool beginsWith(std::string_view _text, std::string_view _prefix)
{
	return _prefix == _text.substr(0, _prefix.size());
}

} // namespace

RouteTable::RouteTable(std::shared_ptr<const DesiredState> _state) : state_(std::move(_state))
{
	for (const HostRoute& route : state_->routes)
	{
		byHost_[hostKey(route.host)].push_back(&route);
	}
	for (auto& row : byHost_)
	{
		std::stable_sort(row.second.begin(), row.second.end(),
		                 [](const HostRoute* _a, const HostRoute* _b)
		                 {
			                 return _b->pathPrefix.size() < _a->pathPrefix.size();
		                 });
	}
	for (const KeyHolder& holder : state_->customers)
	{
		for (const std::string& key : holder.keys)
		{
			byKey_.emplace(key, &holder);
		}
	}
	for (const ServiceSpec& service : state_->services)
	{
		services_.emplace(service.name, &service);
	}
	prioritized_ = prioritizedServices(*state_);
	for (const KeyHolder& holder : state_->customers)
	{
		if (holder.hasUrgency)
		{
			customerUrgencies_.insert(holder.urgency);
		}
	}
}

const HostRoute* RouteTable::findRoute(std::string_view _host, std::string_view _path) const
{
	const auto row = byHost_.find(hostKey(_host));
	if (byHost_.end() == row)
	{
		return nullptr;
	}
	const std::string_view path = _path.substr(0, _path.find('?'));
	for (const HostRoute* const route : row->second)
	{
		if (beginsWith(path, route->pathPrefix))
		{
			return route;
		}
	}
	return nullptr;
}

const KeyHolder* RouteTable::findCustomer(std::string_view _key) const
{
	if (_key.empty())
	{
		return nullptr; // a request without a key, whatever a customer's list holds
	}
	const auto row = byKey_.find(std::string(_key));
	return byKey_.end() == row ? nullptr : row->second;
}

const ServiceSpec* RouteTable::findService(const std::string& _name) const
{
	const auto row = services_.find(_name);
	return services_.end() == row ? nullptr : row->second;
}

bool RouteTable::isPrioritized(const std::string& _service) const
{
	return 0 < prioritized_.count(_service);
}

uint32_t RouteTable::urgencyOf(const HostRoute& _route, const KeyHolder* _holder)
{
	return nullptr != _holder && _holder->hasUrgency ? _holder->urgency : _route.urgency;
}

/// A customer's urgency ranks before its route's, so that each urgency of customers has a block of ranks, one for each
/// urgency of the routes.
uint32_t RouteTable::rankOf(const std::string& _service, const HostRoute& _route, const KeyHolder* _holder) const
{
	const auto row = prioritized_.find(_service);
	if (prioritized_.end() == row)
	{
		return urgencyOf(_route, _holder);
	}
	const std::set<uint32_t>& routes = row->second;
	const auto ofRoute = static_cast<uint32_t>(std::distance(routes.begin(), routes.lower_bound(_route.urgency)));
	const bool hasUrgency = nullptr != _holder && _holder->hasUrgency;
	const auto moreUrgent = static_cast<uint32_t>(
	    std::distance(customerUrgencies_.begin(), customerUrgencies_.lower_bound(hasUrgency ? _holder->urgency : 0)));
	return std::min(kMaxRank, (hasUrgency ? moreUrgent : 0) * static_cast<uint32_t>(routes.size()) + ofRoute);
}

const WeightedService* pickService(const HostRoute& _route, uint64_t _draw)
{
	double total = 0;
	for (const WeightedService& service : _route.services)
	{
		total += std::max(0.0, service.weight);
	}
	double remaining = static_cast<double>(_draw) / kDrawRange * total;
	const WeightedService* last = nullptr;
	for (const WeightedService& service : _route.services)
	{
		if (service.weight <= 0)
		{
			continue;
		}
		last = &service;
		remaining -= service.weight;
		if (remaining < 0)
		{
			break;
		}
	}
	return last;
}

} // namespace sedgecart

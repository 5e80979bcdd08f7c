// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <core/snapshotbuilder.h>

#include <core/blackboard.h>
#include <core/snapshot.h>

#include <algorithm>

namespace sedgecart
{

namespace
{

constexpr std::size_t kMaxCovers = 64;
constexpr Duration kDefaultLatency = Duration{1000};
constexpr Duration kLatencyInHall = Duration{50};

HallHandle findHall(const Snapshot& _snapshot, const std::string& _name)
{
	for (uint32_t index = 0; index < _snapshot.halls.size(); ++index)
	{
		if (_snapshot.halls[index] == _name)
		{
			return HallHandle{index};
		}
	}
	return HallHandle{};
}

void addHalls(const Blackboard& _board, Snapshot& _snapshot)
{
	for (const auto& entry : _board.config.halls())
	{
		_snapshot.halls.push_back(entry.first);
	}
	// This node's hall is added even if it is not configured, so that a new node can serve before its hall is.
	if (!isValid(findHall(_snapshot, _board.self.hall)))
	{
		_snapshot.halls.push_back(_board.self.hall);
	}
	_snapshot.ownHall = findHall(_snapshot, _board.self.hall);
}

void addLatency(const Blackboard& _board, Snapshot& _snapshot)
{
	const std::size_t count = _snapshot.halls.size();
	_snapshot.latency.assign(count * count, kDefaultLatency);
	for (std::size_t hall = 0; hall < count; ++hall)
	{
		_snapshot.latency[hall * count + hall] = kLatencyInHall;
	}
	for (const auto& entry : _board.config.links())
	{
		const LinkSpec& link = entry.second.spec;
		const HallHandle from = findHall(_snapshot, link.from);
		const HallHandle to = findHall(_snapshot, link.to);
		if (isValid(from) && isValid(to))
		{
			_snapshot.latency[from.index * count + to.index] = link.latency;
			_snapshot.latency[to.index * count + from.index] = link.latency;
		}
	}
}

void addTargets(Blackboard& _board, Snapshot& _snapshot)
{
	for (const auto& entry : _board.config.targets())
	{
		TargetView view;
		view.spec = entry.second.spec;
		view.handle = _board.targets.handleOf(entry.first);
		view.hall = findHall(_snapshot, view.spec.hall);
		const bool leaving = 0 != _board.leaving.all.count(entry.first);
		view.usable = isValid(view.handle) && isValid(view.hall) && !view.spec.draining && !leaving;
		if (isValid(view.handle))
		{
			_snapshot.targets.push_back(view);
		}
	}
}

StageGroup& groupFor(RouteView& _route, LayerRange _layers)
{
	for (StageGroup& group : _route.groups)
	{
		if (group.layers == _layers)
		{
			return group;
		}
	}
	_route.groups.push_back(StageGroup{_layers, {}, {}});
	return _route.groups.back();
}

void addGroups(const Snapshot& _snapshot, RouteView& _route)
{
	for (uint32_t index = 0; index < _snapshot.targets.size(); ++index)
	{
		const TargetView& target = _snapshot.targets[index];
		if (!target.usable || target.spec.spare || target.spec.model != _route.spec.model)
		{
			continue;
		}
		const bool isService = RouteKind::Service == _route.spec.kind;
		StageGroup& group = groupFor(_route, isService ? LayerRange{} : target.spec.layers);
		group.all.push_back(index);
		if (target.hall == _snapshot.ownHall)
		{
			group.local.push_back(index);
		}
	}
}

void extendCover(RouteView& _route, Cover& _partial, uint32_t _nextLayer)
{
	if (kMaxCovers <= _route.covers.size())
	{
		return;
	}
	if (_nextLayer == _route.spec.layers)
	{
		_route.covers.push_back(_partial);
		return;
	}
	for (uint32_t index = 0; index < _route.groups.size(); ++index)
	{
		const LayerRange layers = _route.groups[index].layers;
		if (layers.first != _nextLayer || layers.last < layers.first || _route.spec.layers <= layers.last)
		{
			continue;
		}
		_partial.groups.push_back(index);
		extendCover(_route, _partial, layers.last + 1);
		_partial.groups.pop_back();
	}
}

void addCovers(RouteView& _route)
{
	if (RouteKind::Service == _route.spec.kind)
	{
		if (!_route.groups.empty())
		{
			_route.covers.push_back(Cover{{0}});
		}
		return;
	}
	Cover partial;
	if (0 < _route.spec.layers)
	{
		extendCover(_route, partial, 0);
	}
}

/// The side that released a route continues to serve it until the other side has taken it, so that no caller is
/// refused.
bool servesRoute(const RouteSpec& _route, const std::string& _ownSide)
{
	const std::string& serving = _route.holder.empty() ? _route.releasedBy : _route.holder;
	return serving.empty() || serving == _ownSide;
}

void addRoutes(const Blackboard& _board, Snapshot& _snapshot)
{
	const std::string ownSide = _board.config.sideOf(_board.self.hall);
	uint32_t next = 0;
	for (const auto& entry : _board.config.routes())
	{
		RouteView view;
		view.handle = RouteHandle{next++};
		view.spec = entry.second.spec;
		view.held = servesRoute(view.spec, ownSide);
		addGroups(_snapshot, view);
		addCovers(view);
		_snapshot.routes[entry.first] = std::move(view);
	}
}

void addCustomers(const Blackboard& _board, Snapshot& _snapshot)
{
	uint32_t next = 0;
	for (const auto& entry : _board.config.customers())
	{
		CustomerView view;
		view.handle = CustomerHandle{next++};
		view.spec = entry.second.spec;
		_snapshot.customers[view.spec.keySha256] = std::move(view);
	}
}

} // namespace

std::unique_ptr<Snapshot> buildSnapshot(Blackboard& _board, unsigned long long _version)
{
	auto snapshot = std::make_unique<Snapshot>();
	snapshot->version = _version;
	snapshot->configNext = _board.config.next();
	snapshot->liveNodes = _board.members.live;
	addHalls(_board, *snapshot);
	addLatency(_board, *snapshot);
	addTargets(_board, *snapshot);
	addRoutes(_board, *snapshot);
	addCustomers(_board, *snapshot);
	return snapshot;
}

} // namespace sedgecart

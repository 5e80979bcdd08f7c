// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "tables_p.h"

#include "context_p.h"
#include "control_p.h"
#include "registry_p.h"

#include <core/targetboard.h>
#include <node/settings.h>
#include <wire/sedgecart.pb.h>

#include <algorithm>
#include <vector>

namespace sedgecart
{

namespace
{

using Cells = std::vector<std::string>;

constexpr uint32_t kMilli = 1000;

/// Columns and rows of a table, before filtering.
struct Listing
{
	Cells columns;
	std::vector<Cells> rows;
};

Listing listHalls(const Blackboard& _board)
{
	Listing list{{"name", "side", "targets"}, {}};
	for (const auto& entry : _board.config.halls())
	{
		const auto& targets = _board.config.targets();
		const auto targetCount = std::count_if(targets.begin(), targets.end(),
		                                       [&entry](const auto& _target)
		                                       {
			                                       return _target.second.spec.hall == entry.first;
		                                       });
		list.rows.push_back({entry.first, entry.second.spec.side, std::to_string(targetCount)});
	}
	return list;
}

Listing listLinks(const Blackboard& _board)
{
	Listing list{{"name", "from", "to", "latency-us"}, {}};
	for (const auto& entry : _board.config.links())
	{
		const LinkSpec& link = entry.second.spec;
		list.rows.push_back({entry.first, link.from, link.to, std::to_string(link.latency.micros)});
	}
	return list;
}

Listing listCustomers(const Blackboard& _board)
{
	Listing list{{"name", "weight"}, {}};
	for (const auto& entry : _board.config.customers())
	{
		list.rows.push_back({entry.first, std::to_string(entry.second.spec.weight)});
	}
	return list;
}

Listing listRoutes(const Blackboard& _board)
{
	Listing list{{"name", "kind", "model", "layers", "holder", "repeatable", "revision"}, {}};
	for (const auto& entry : _board.config.routes())
	{
		const RouteSpec& route = entry.second.spec;
		const std::string released = route.releasedBy.empty() ? "any" : "released by " + route.releasedBy;
		list.rows.push_back({entry.first, RouteKind::Service == route.kind ? "service" : "model", route.model,
		                     std::to_string(route.layers), route.holder.empty() ? released : route.holder,
		                     route.repeatable ? "yes" : "no", std::to_string(entry.second.revision)});
	}
	return list;
}

std::string stateOf(const Blackboard& _board, const TargetSpec& _spec, const TargetCounters& _counters, Time _now)
{
	const bool holding = _counters.holdsLayers && _spec.fence == _counters.heldFence;
	if (_spec.draining)
	{
		return "draining";
	}
	if (0 != _board.leaving.all.count(_spec.name) || _counters.leaving)
	{
		return "leaving";
	}
	if (_spec.spare)
	{
		return "spare";
	}
	if (!holding)
	{
		return "loading";
	}
	return _counters.ejectedUntil <= _now.micros ? "active" : "ejected";
}

Listing listTargets(const Blackboard& _board, TargetBoard& _targets, Time _now)
{
	Listing list{
	    {"name", "hall", "model", "layers", "accelerator", "state", "slots", "own", "others", "limit", "address"}, {}};
	for (const auto& entry : _board.config.targets())
	{
		const TargetSpec& spec = entry.second.spec;
		const TargetCounters& counters = _targets.at(_targets.handleOf(entry.first));
		const std::string layers = std::to_string(spec.layers.first) + "-" + std::to_string(spec.layers.last);
		list.rows.push_back({entry.first, spec.hall, spec.model, layers, spec.accelerator,
		                     stateOf(_board, spec, counters, _now), std::to_string(spec.slots),
		                     std::to_string(counters.inFlight), std::to_string(counters.remoteInFlight),
		                     std::to_string(counters.limitMilli / kMilli), spec.address});
	}
	return list;
}

Listing listNodes(const Blackboard& _board)
{
	Listing list{{"name", "hall", "state", "config-next", "incarnation"}, {}};
	const NodeIdentity& self = _board.self;
	list.rows.push_back({self.name, self.hall, "this", std::to_string(_board.config.next().value), self.incarnation});
	for (const auto& entry : _board.members.nodes)
	{
		const NodeReport& report = entry.second.report;
		const std::string silent = report.stopping ? "stopping" : "silent";
		list.rows.push_back({entry.first, report.hall, entry.second.live ? "live" : silent,
		                     std::to_string(report.configNext.value), report.incarnation});
	}
	return list;
}

Listing listChanges(const Blackboard& _board)
{
	Listing list{{"offset", "author", "change", "object", "name", "undo"}, {}};
	for (const PastChange& change : _board.history.all())
	{
		list.rows.push_back({std::to_string(change.offset.value), change.author, nameOf(change.verb),
		                     nameOf(change.kind), change.name, change.inverse ? "yes" : "no"});
	}
	return list;
}

Listing listRequests(const Registry& _registry, Time _now)
{
	Listing list{{"id", "customer", "route", "chain", "tokens", "age-ms"}, {}};
	for (const ActiveRequest& request : _registry.list())
	{
		list.rows.push_back({request.id, request.customer, request.route, request.chain, std::to_string(request.tokens),
		                     std::to_string((_now - request.startedAt).millis())});
	}
	return list;
}

Listing listAll(const NodeContext& _context, Table::Enum _table)
{
	const Time now = _context.clock.now();
	return _context.control.withBoard(
	    [&_context, _table, now](const Blackboard& _board)
	    {
		    switch (_table)
		    {
		    case Table::Halls:
			    return listHalls(_board);
		    case Table::Links:
			    return listLinks(_board);
		    case Table::Customers:
			    return listCustomers(_board);
		    case Table::Routes:
			    return listRoutes(_board);
		    case Table::Targets:
			    return listTargets(_board, _context.control.targets(), now);
		    case Table::Nodes:
			    return listNodes(_board);
		    case Table::Changes:
			    return listChanges(_board);
		    case Table::Requests:
		    case Table::Count:
			    break;
		    }
		    return listRequests(_context.registry, now);
	    });
}

} // namespace

Result<wire::CommandReply> showTable(const NodeContext& _context, const Command& _command)
{
	const Listing list = listAll(_context, _command.table);
	std::vector<bool> kept(list.rows.size(), true);
	for (const FieldValue& condition : _command.fields)
	{
		const auto column = std::find(list.columns.begin(), list.columns.end(), condition.field);
		if (list.columns.end() == column)
		{
			return Error{ErrorKind::CommandInvalid,
			             "Table '" + std::string(nameOf(_command.table)) + "' has no column '" + condition.field + "'.",
			             {}};
		}
		const auto index = static_cast<std::size_t>(column - list.columns.begin());
		for (std::size_t row = 0; row < list.rows.size(); ++row)
		{
			kept[row] = kept[row] && condition.value == list.rows[row][index];
		}
	}
	wire::CommandReply reply;
	reply.set_accepted(true);
	for (const std::string& column : list.columns)
	{
		reply.add_columns(column);
	}
	for (std::size_t row = 0; row < list.rows.size(); ++row)
	{
		if (kept[row])
		{
			wire::Row& made = *reply.add_rows();
			made.mutable_cells()->Add(list.rows[row].begin(), list.rows[row].end());
		}
	}
	return reply;
}

} // namespace sedgecart

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "dump_p.h"

#include "claimlog_p.h"
#include "context_p.h"
#include "control_p.h"
#include "peers_p.h"
#include "tables_p.h"

#include <node/settings.h>
#include <wire/json.h>
#include <wire/sedgecart.pb.h>

#include <boost/algorithm/string/join.hpp>
#include <google/protobuf/struct.pb.h>

namespace sedgecart
{

namespace
{

using Object = google::protobuf::Struct;

void setText(Object& _object, const std::string& _name, const std::string& _value)
{
	(*_object.mutable_fields())[_name].set_string_value(_value);
}

void setNumber(Object& _object, const std::string& _name, uint64_t _value)
{
	(*_object.mutable_fields())[_name].set_number_value(static_cast<double>(_value));
}

void addTable(Object& _object, const NodeContext& _context, Table::Enum _table)
{
	Command show;
	show.table = _table;
	const Result<wire::CommandReply> reply = showTable(_context, show);
	auto& list = *(*_object.mutable_fields())[nameOf(_table)].mutable_list_value();
	for (const wire::Row& row : reply.value().rows())
	{
		Object& made = *list.add_values()->mutable_struct_value();
		for (int column = 0; column < row.cells_size(); ++column)
		{
			setText(made, reply.value().columns(column), row.cells(column));
		}
	}
}

} // namespace

std::string dumpState(const NodeContext& _context)
{
	Object state;
	setText(state, "name", _context.settings.name);
	setText(state, "hall", _context.settings.hall);
	setText(state, "incarnation", _context.incarnation.text());
	setText(state, "log", _context.control.logIdentity());
	setNumber(state, "config_next", _context.control.configNext().value);
	// A 64-bit digest does not fit exactly in a JSON number, hence the text.
	const uint64_t digest = _context.control.withBoard(
	    [](const Blackboard& _board)
	    {
		    return _board.config.digest();
	    });
	setText(state, "config_digest", std::to_string(digest));
	setText(state, "peers", boost::algorithm::join(_context.peers.connectedEndpoints(), ","));
	setNumber(state, "claims", _context.claims.size());
	setNumber(state, "retries_left", _context.retries.left());
	for (int table = 0; table < Table::Count; ++table)
	{
		addTable(state, _context, static_cast<Table::Enum>(table));
	}
	return toJson(state);
}

} // namespace sedgecart

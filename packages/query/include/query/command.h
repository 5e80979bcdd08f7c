// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_QUERY_COMMAND_H_HEADER_GUARD
#define SEDGECART_QUERY_COMMAND_H_HEADER_GUARD

#include <base/configchange.h>

#include <string>
#include <vector>

namespace sedgecart
{

/// What an operator asks for.
struct CommandVerb
{
	enum Enum
	{
		Show,
		WhoHolds,
		Add,
		Remove,
		Drain,
		Resume,
		Release,
		Take,
		Move,
		Undo,

		Count
	};
};

/// What `show` lists.
struct Table
{
	enum Enum
	{
		Halls,
		Links,
		Customers,
		Routes,
		Targets,
		Nodes,
		Requests,
		Changes,

		Count
	};
};

/// A field and a value: a condition of `show`, or a field that `add` sets.
struct FieldValue
{
	std::string field;
	std::string value;
};

/// A statement of the operators' language, read.
struct Command
{
	CommandVerb::Enum verb = CommandVerb::Show;
	Table::Enum table = Table::Targets;         //!< Show.
	ObjectKind::Enum object = ObjectKind::None; //!< All others.
	std::string name;                           //!< Object's name; undo: offset of the change.
	std::string side;                           //!< Release, take, and the side that a move begins from.
	std::string toSide;                         //!< Move.
	std::vector<FieldValue> fields;             //!< Conditions, all must hold; or fields to set.
};

/// What reading a statement gave.
struct ParseOutcome
{
	bool ok = false;
	Command command;
	std::size_t column = 0; //!< Not ok: where the text cannot be read, from 0.
	std::string expected;   //!< Not ok: what would have been read there.
};

/// Reads one statement, such as `show targets where hall = bergen-a and state = draining`.
ParseOutcome parseCommand(const std::string& _text);

/// @returns the statement with a mark under the word that cannot be read.
std::string explain(const std::string& _text, const ParseOutcome& _outcome);

/// @returns "targets" and so on.
const char* nameOf(Table::Enum _table);

} // namespace sedgecart

#endif // SEDGECART_QUERY_COMMAND_H_HEADER_GUARD

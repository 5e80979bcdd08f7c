// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <query/command.h>

#include <boost/spirit/home/x3.hpp>

#include <utility>

namespace sedgecart
{

namespace x3 = boost::spirit::x3;

namespace
{

constexpr const char* kTableNames[] = {"halls",   "links", "customers", "routes",
                                       "targets", "nodes", "requests",  "changes"};
static_assert(Table::Count == sizeof(kTableNames) / sizeof(kTableNames[0]), "each table needs its name");

x3::symbols<Table::Enum> makeTables()
{
	x3::symbols<Table::Enum> tables;
	for (int index = 0; index < Table::Count; ++index)
	{
		tables.add(kTableNames[index], static_cast<Table::Enum>(index));
	}
	return tables;
}

x3::symbols<ObjectKind::Enum> makeObjects(std::initializer_list<ObjectKind::Enum> _kinds)
{
	x3::symbols<ObjectKind::Enum> objects;
	for (const ObjectKind::Enum kind : _kinds)
	{
		objects.add(nameOf(kind), kind);
	}
	return objects;
}

/// Gives a rule the name that error messages use.
template <typename Parser> auto named(const char* _name, const Parser& _parser)
{
	return x3::rule<Parser>{_name} = _parser;
}

/// Reads the statement; throws x3::expectation_failure at the word that cannot be read.
bool read(std::string::const_iterator& _at, std::string::const_iterator _end, Command& _command)
{
	const auto setVerb = [&_command](CommandVerb::Enum _verb)
	{
		return x3::eps[(
		    [&_command, _verb](auto&)
		    {
			    _command.verb = _verb;
		    })];
	};
	const auto setTable = [&_command](auto& _context)
	{
		_command.table = x3::_attr(_context);
	};
	const auto setObject = [&_command](auto& _context)
	{
		_command.object = x3::_attr(_context);
	};
	const auto setName = [&_command](auto& _context)
	{
		_command.name = x3::_attr(_context);
	};
	const auto setSide = [&_command](auto& _context)
	{
		_command.side = x3::_attr(_context);
	};
	const auto setToSide = [&_command](auto& _context)
	{
		_command.toSide = x3::_attr(_context);
	};
	const auto addField = [&_command](auto& _context)
	{
		_command.fields.push_back({x3::_attr(_context), {}});
	};
	const auto setValue = [&_command](auto& _context)
	{
		_command.fields.back().value = x3::_attr(_context);
	};

	const auto plain = x3::char_("a-zA-Z0-9_.:/+-");
	const auto text = x3::rule<struct Text, std::string>{"text"} =
	    x3::lexeme[+plain] | x3::lexeme['"' >> *(x3::char_ - '"') >> '"'];
	const auto word = [plain](const char* _word)
	{
		return x3::lexeme[x3::lit(_word) >> !plain];
	};
	const auto name = named("a name", text[setName]);
	const auto side = named("a side", text[setSide]);
	const auto toSide = named("a side", text[setToSide]);
	const auto value = named("a value", text[setValue]);

	const auto tableNames = makeTables();
	const auto table = named("halls, links, customers, routes, targets, nodes, requests or changes",
	                         x3::lexeme[tableNames >> !plain][setTable]);
	const auto anyObject =
	    makeObjects({ObjectKind::Hall, ObjectKind::Link, ObjectKind::Customer, ObjectKind::Route, ObjectKind::Target});
	const auto object = named("hall, link, customer, route or target", x3::lexeme[anyObject >> !plain][setObject]);
	const auto drainableNames = makeObjects({ObjectKind::Hall, ObjectKind::Target});
	const auto drainable = named("target or hall", x3::lexeme[drainableNames >> !plain][setObject]);
	const auto routeNames = makeObjects({ObjectKind::Route});
	const auto route = named("route", x3::lexeme[routeNames >> !plain][setObject]);
	const auto field = text[addField] > x3::lit('=') > value;

	const auto show = word("show") > setVerb(CommandVerb::Show) > table > -(word("where") > field % word("and"));
	const auto who = word("who") > setVerb(CommandVerb::WhoHolds) > word("holds") > route > name;
	const auto add = word("add") > setVerb(CommandVerb::Add) > object > name > *field;
	const auto remove = word("remove") > setVerb(CommandVerb::Remove) > object > name;
	const auto drain = word("drain") > setVerb(CommandVerb::Drain) > drainable > name;
	const auto resume = word("resume") > setVerb(CommandVerb::Resume) > drainable > name;
	const auto release = word("release") > setVerb(CommandVerb::Release) > route > name > word("from") > side;
	const auto take = word("take") > setVerb(CommandVerb::Take) > route > name > word("for") > side;
	const auto move =
	    word("move") > setVerb(CommandVerb::Move) > route > name > word("from") > side > word("to") > toSide;
	const auto change = named("the offset of a change, as show changes lists them", text[setName]);
	const auto undo = word("undo") > setVerb(CommandVerb::Undo) > change;
	const auto verb = show | who | add | remove | drain | resume | release | take | move | undo;
	const auto statement = named("show, who, add, remove, drain, resume, release, take, move or undo", verb);
	const auto end = named("the end of the statement", x3::eoi);
	return x3::phrase_parse(_at, _end, x3::eps > statement > end, x3::space);
}

} // namespace

ParseOutcome parseCommand(const std::string& _text)
{
	ParseOutcome outcome;
	auto at = _text.cbegin();
	try
	{
		outcome.ok = read(at, _text.cend(), outcome.command);
	}
	catch (const x3::expectation_failure<std::string::const_iterator>& failure)
	{
		outcome.column = static_cast<std::size_t>(failure.where() - _text.cbegin());
		outcome.expected = failure.which();
	}
	return outcome;
}

std::string explain(const std::string& _text, const ParseOutcome& _outcome)
{
	std::size_t column = _outcome.column;
	while (column < _text.size() && ' ' == _text[column])
	{
		++column;
	}
	return _text + "\n" + std::string(column, ' ') + "^ expected " + _outcome.expected;
}

const char* nameOf(Table::Enum _table)
{
	return kTableNames[_table];
}

} // namespace sedgecart

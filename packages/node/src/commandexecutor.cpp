// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "commandexecutor_p.h"

#include "changemaker_p.h"
#include "configwriter_p.h"
#include "context_p.h"
#include "control_p.h"
#include "stopstate_p.h"
#include "tables_p.h"

#include <base/bootclock.h>
#include <base/config.h>
#include <wire/sedgecart.pb.h>

#include <algorithm>
#include <charconv>
#include <chrono>
#include <set>
#include <thread>

namespace sedgecart
{

namespace
{

constexpr uint32_t kMaxWaitMs = 60000;
constexpr std::chrono::milliseconds kCheckInterval{20};

Result<wire::CommandReply> whoHolds(const NodeContext& _context, const Command& _command)
{
	Command show;
	show.table = Table::Routes;
	show.fields.push_back({"name", _command.name});
	Result<wire::CommandReply> reply = showTable(_context, show);
	if (reply.has_value() && 0 == reply.value().rows_size())
	{
		return Error{ErrorKind::CommandInvalid, "There is no route '" + _command.name + "'.", {}};
	}
	return reply;
}

/// @returns the inverse of an earlier change, which expects that the object has not been changed since.
Result<ConfigChange> undoOf(const NodeContext& _context, const Command& _command)
{
	uint64_t offset = 0;
	const char* const end = _command.name.data() + _command.name.size();
	const auto read = std::from_chars(_command.name.data(), end, offset);
	if (read.ptr != end || std::errc{} != read.ec)
	{
		return Error{ErrorKind::CommandInvalid, "'" + _command.name + "' is not the offset of a change.", {}};
	}
	return _context.control.withBoard(
	    [offset](const Blackboard& _board) -> Result<ConfigChange>
	    {
		    const PastChange* const past = _board.history.find(Offset{offset});
		    const std::string which = "Change " + std::to_string(offset);
		    if (nullptr == past)
		    {
			    return Error{ErrorKind::CommandInvalid, which + " is unknown to this node, or too old.", {}};
		    }
		    if (!past->inverse)
		    {
			    return Error{ErrorKind::CommandInvalid,
			                 which + " affected several objects and cannot be undone; send the opposite command.",
			                 {}};
		    }
		    return *past->inverse;
	    });
}

} // namespace

CommandExecutor::CommandExecutor(const NodeContext& _context) : context_(_context)
{
}

Result<wire::CommandReply> CommandExecutor::execute(const wire::CommandRequest& _request, const std::string& _author)
{
	const ParseOutcome parsed = parseCommand(_request.text());
	if (!parsed.ok)
	{
		return Error{ErrorKind::CommandInvalid, "\n" + explain(_request.text(), parsed), {}};
	}
	switch (parsed.command.verb)
	{
	case CommandVerb::Show:
		return showTable(context_, parsed.command);
	case CommandVerb::WhoHolds:
		return whoHolds(context_, parsed.command);
	case CommandVerb::Add:
	case CommandVerb::Remove:
	case CommandVerb::Drain:
	case CommandVerb::Resume:
	case CommandVerb::Release:
	case CommandVerb::Take:
	case CommandVerb::Move:
	case CommandVerb::Undo:
	case CommandVerb::Count:
		break;
	}
	return executeChange(parsed.command, _request, _author);
}

Result<wire::CommandReply> CommandExecutor::executeChange(const Command& _command, const wire::CommandRequest& _request,
                                                          const std::string& _author)
{
	const Result<ConfigChange> made =
	    CommandVerb::Undo == _command.verb ? undoOf(context_, _command) : makeChange(_command);
	if (!made.has_value())
	{
		return made.error();
	}
	ConfigChange change = made.value();
	change.id = context_.incarnation.nextId();
	change.author = _author;
	if (CommandVerb::Undo != _command.verb)
	{
		setPrecondition(change);
	}
	wire::CommandReply reply;
	if (_request.dry_run())
	{
		reply.set_accepted(true);
		reply.set_message("Would " + describe(change) + " at revision " + std::to_string(change.expectedRevision) +
		                  ".");
		return reply;
	}
	const Result<ChangeReport> report = ConfigWriter(context_).write(change);
	if (!report.has_value())
	{
		return report.error();
	}
	if (ChangeOutcome::Applied != report.value().outcome)
	{
		const std::string winner = report.value().winner;
		const std::string by = winner.empty() ? std::string() : " The change in effect is by " + winner + ".";
		const bool lost = ChangeOutcome::Lost == report.value().outcome;
		return Error{lost ? ErrorKind::CommandLost : ErrorKind::CommandInvalid,
		             describe(change) + ": " + nameOf(report.value().outcome) + "." + by,
		             {}};
	}
	reply.set_accepted(true);
	reply.set_offset(report.value().offset);
	waitForNodes(report.value().offset + 1, _request.wait_ms(), reply);
	const bool everywhere = 0 == reply.unconfirmed_size();
	reply.set_message(describe(change) + (everywhere ? ": in force on every known node." : ": accepted."));
	return reply;
}

/// Sets the precondition of a change, so that it fails if another operator has changed the object concurrently: expects
/// the object's revision on this node.
void CommandExecutor::setPrecondition(ConfigChange& _change) const
{
	// A drain of a hall affects several objects, which have no common revision.
	_change.hasPrecondition = ObjectKind::Hall != _change.kind || ChangeVerb::Put == _change.verb;
	_change.expectedRevision = context_.control.withBoard(
	    [&_change](const Blackboard& _board)
	    {
		    return _board.config.revisionOf(_change.kind, _change.name);
	    });
}

void CommandExecutor::waitForNodes(uint64_t _next, uint32_t _waitMs, wire::CommandReply& _reply)
{
	const auto deadline = BootClock::now() + std::chrono::milliseconds(std::min(_waitMs, kMaxWaitMs));
	std::vector<std::string> missing = unconfirmedNodes(_next);
	// A stop does not wait for other nodes; the reply names those that have not confirmed.
	while (!missing.empty() && BootClock::now() < deadline && !context_.stop.isStopping())
	{
		std::this_thread::sleep_for(kCheckInterval);
		missing = unconfirmedNodes(_next);
	}
	_reply.mutable_unconfirmed()->Add(missing.begin(), missing.end());
}

std::vector<std::string> CommandExecutor::unconfirmedNodes(uint64_t _next) const
{
	return context_.control.withBoard(
	    [_next](const Blackboard& _board)
	    {
		    std::set<std::string> missing = _board.members.listed;
		    missing.erase(_board.self.name);
		    for (const auto& entry : _board.members.nodes)
		    {
			    const NodeReport& report = entry.second.report;
			    const bool confirmed = report.stopping || _next <= report.configNext.value;
			    // A node that is silent and no longer listed was replaced and serves no requests.
			    const bool removed = !entry.second.live && 0 == _board.members.listed.count(entry.first);
			    if (confirmed || removed)
			    {
				    missing.erase(entry.first);
			    }
			    else
			    {
				    missing.insert(entry.first);
			    }
		    }
		    return std::vector<std::string>(missing.begin(), missing.end());
	    });
}

} // namespace sedgecart

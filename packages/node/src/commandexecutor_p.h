// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_NODE_COMMANDEXECUTOR_P_H_HEADER_GUARD
#define SEDGECART_NODE_COMMANDEXECUTOR_P_H_HEADER_GUARD

#include <base/configchange.h>
#include <base/error.h>
#include <base/result.h>
#include <core/configstate.h>
#include <query/command.h>

#include <string>
#include <vector>

namespace sedgecart
{

namespace wire
{
class CommandReply;
class CommandRequest;
} // namespace wire

struct NodeContext;

/// Executes operators' queries and commands. Thread-safe.
class CommandExecutor
{
public:
	explicit CommandExecutor(const NodeContext& _context);

	/// Parses and executes one statement.
	/// @param _author recorded as the author of a change.
	/// @returns the reply, or CommandInvalid, CommandLost or an error of the log.
	Result<wire::CommandReply> execute(const wire::CommandRequest& _request, const std::string& _author);

private:
	Result<wire::CommandReply> executeChange(const Command& _command, const wire::CommandRequest& _request,
	                                         const std::string& _author);
	void setPrecondition(ConfigChange& _change) const;
	void waitForNodes(uint64_t _next, uint32_t _waitMs, wire::CommandReply& _reply);
	std::vector<std::string> unconfirmedNodes(uint64_t _next) const;

	const NodeContext& context_;
};

} // namespace sedgecart

#endif // SEDGECART_NODE_COMMANDEXECUTOR_P_H_HEADER_GUARD

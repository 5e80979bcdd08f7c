// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_NODE_TABLES_P_H_HEADER_GUARD
#define SEDGECART_NODE_TABLES_P_H_HEADER_GUARD

#include <base/result.h>
#include <query/command.h>

namespace sedgecart
{

namespace wire
{
class CommandReply;
} // namespace wire

struct NodeContext;

/// Lists the rows of a table that match all conditions of a command.
/// @returns the rows, or CommandInvalid if a condition names an unknown column.
Result<wire::CommandReply> showTable(const NodeContext& _context, const Command& _command);

} // namespace sedgecart

#endif // SEDGECART_NODE_TABLES_P_H_HEADER_GUARD

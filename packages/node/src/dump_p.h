// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_NODE_DUMP_P_H_HEADER_GUARD
#define SEDGECART_NODE_DUMP_P_H_HEADER_GUARD

#include <string>

namespace sedgecart
{

struct NodeContext;

/// @returns the state of this node as a JSON object: every table, the log's identity, the config offset and digest,
/// peers, claims and retries. Contains no keys.
std::string dumpState(const NodeContext& _context);

} // namespace sedgecart

#endif // SEDGECART_NODE_DUMP_P_H_HEADER_GUARD

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_NODE_CONFIGWRITER_P_H_HEADER_GUARD
#define SEDGECART_NODE_CONFIGWRITER_P_H_HEADER_GUARD

#include <base/result.h>
#include <core/configstate.h>

namespace sedgecart
{

struct NodeContext;

/// Appends changes to the config stream of the log and waits until they are read back, for their outcome. Thread-safe.
class ConfigWriter
{
public:
	explicit ConfigWriter(const NodeContext& _context);

	/// Appends a change. Repeats the append with the same id if the log's response is lost.
	/// @returns the change's outcome once this node has applied it; LogUnavailable if the log did not accept it,
	/// CommandUnknown if it may have.
	Result<ChangeReport> write(const ConfigChange& _change);

private:
	const NodeContext& context_;
};

} // namespace sedgecart

#endif // SEDGECART_NODE_CONFIGWRITER_P_H_HEADER_GUARD

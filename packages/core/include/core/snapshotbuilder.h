// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_CORE_SNAPSHOTBUILDER_H_HEADER_GUARD
#define SEDGECART_CORE_SNAPSHOTBUILDER_H_HEADER_GUARD

#include <memory>

namespace sedgecart
{

struct Blackboard;
struct Snapshot;

/// Builds the snapshot for the request path from the blackboard.
/// @param _version of the new snapshot.
std::unique_ptr<Snapshot> buildSnapshot(Blackboard& _board, unsigned long long _version);

} // namespace sedgecart

#endif // SEDGECART_CORE_SNAPSHOTBUILDER_H_HEADER_GUARD

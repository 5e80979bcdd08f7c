// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_NODE_SNAPSHOTCELL_P_H_HEADER_GUARD
#define SEDGECART_NODE_SNAPSHOTCELL_P_H_HEADER_GUARD

#include <base/rcucell.h>
#include <core/snapshot.h>

namespace sedgecart
{

/// Holds the current snapshot; readers take no lock.
class SnapshotCell : public RcuCell<Snapshot>
{
};

} // namespace sedgecart

#endif // SEDGECART_NODE_SNAPSHOTCELL_P_H_HEADER_GUARD

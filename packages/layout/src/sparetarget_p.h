// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_LAYOUT_SPARETARGET_P_H_HEADER_GUARD
#define SEDGECART_LAYOUT_SPARETARGET_P_H_HEADER_GUARD

#include <cstddef>
#include <vector>

namespace sedgecart
{

struct LayoutTarget;

/// @returns true if every layer that the target holds is also held by another target of its hall.
bool isSpare(const std::vector<LayoutTarget>& _targets, std::size_t _target);

} // namespace sedgecart

#endif // SEDGECART_LAYOUT_SPARETARGET_P_H_HEADER_GUARD

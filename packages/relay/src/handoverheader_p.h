// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_RELAY_HANDOVERHEADER_P_H_HEADER_GUARD
#define SEDGECART_RELAY_HANDOVERHEADER_P_H_HEADER_GUARD

#include <string_view>

namespace sedgecart
{

/// Header of a request that one node hands to another: on how many targets it may still run, a decimal number.
constexpr std::string_view kRunsLeftHeader = "Sedgecart-Runs-Left";

} // namespace sedgecart

#endif // SEDGECART_RELAY_HANDOVERHEADER_P_H_HEADER_GUARD

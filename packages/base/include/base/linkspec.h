// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_BASE_LINKSPEC_H_HEADER_GUARD
#define SEDGECART_BASE_LINKSPEC_H_HEADER_GUARD

#include <base/units.h>

#include <string>

namespace sedgecart
{

/// Latency of the link between two halls, or inside one if both names are equal. Applies to both directions.
struct LinkSpec
{
	std::string from;
	std::string to;
	Duration latency; //!< One way.
};

} // namespace sedgecart

#endif // SEDGECART_BASE_LINKSPEC_H_HEADER_GUARD

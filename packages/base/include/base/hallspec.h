// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_BASE_HALLSPEC_H_HEADER_GUARD
#define SEDGECART_BASE_HALLSPEC_H_HEADER_GUARD

#include <string>

namespace sedgecart
{

/// A data hall as configured.
struct HallSpec
{
	std::string name;
	std::string side; //!< Halls of one side move together in a migration.
};

} // namespace sedgecart

#endif // SEDGECART_BASE_HALLSPEC_H_HEADER_GUARD

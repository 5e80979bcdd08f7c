// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_BASE_CUSTOMERSPEC_H_HEADER_GUARD
#define SEDGECART_BASE_CUSTOMERSPEC_H_HEADER_GUARD

#include <cstdint>
#include <string>

namespace sedgecart
{

/// A customer as configured.
struct CustomerSpec
{
	std::string name;
	std::string keySha256; //!< Digest of its bearer key, lower-case hex.
	uint32_t weight = 1;   //!< Share among customers, at least 1.
};

} // namespace sedgecart

#endif // SEDGECART_BASE_CUSTOMERSPEC_H_HEADER_GUARD

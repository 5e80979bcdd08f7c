// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_BASE_ENDPOINTTEXT_H_HEADER_GUARD
#define SEDGECART_BASE_ENDPOINTTEXT_H_HEADER_GUARD

#include <string>

namespace sedgecart
{

/// @returns true if the text is an "ip:port" that can be connected to: an address that names one host, and a port of at
/// least 1.
bool isEndpoint(const std::string& _text);

} // namespace sedgecart

#endif // SEDGECART_BASE_ENDPOINTTEXT_H_HEADER_GUARD

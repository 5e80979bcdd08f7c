// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_BASE_HTTPSTATUS_H_HEADER_GUARD
#define SEDGECART_BASE_HTTPSTATUS_H_HEADER_GUARD

namespace sedgecart
{

/// @returns true for the status codes that HTTP defines: 100 to 599 (RFC 9110, section 15). A parser may accept any
/// three digits.
constexpr bool isHttpStatus(unsigned _status)
{
	constexpr unsigned kFirst = 100;
	constexpr unsigned kEnd = 600;
	return kFirst <= _status && _status < kEnd;
}

} // namespace sedgecart

#endif // SEDGECART_BASE_HTTPSTATUS_H_HEADER_GUARD

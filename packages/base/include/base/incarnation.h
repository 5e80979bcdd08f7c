// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_BASE_INCARNATION_H_HEADER_GUARD
#define SEDGECART_BASE_INCARNATION_H_HEADER_GUARD

#include <atomic>
#include <cstdint>
#include <string>

namespace sedgecart
{

/// Identity of one process start: 128 random bits. Ids derived from it are unique.
class Incarnation
{
public:
	/// Reads the bits from the system's entropy source.
	Incarnation();

	/// @returns a new id, "<32 hex digits>-<counter>". Thread-safe.
	std::string nextId();

	/// @returns the 32 hex digits.
	const std::string& text() const
	{
		return text_;
	}

private:
	std::string text_;
	std::atomic<uint64_t> counter_{0};
};

} // namespace sedgecart

#endif // SEDGECART_BASE_INCARNATION_H_HEADER_GUARD

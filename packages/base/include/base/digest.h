// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_BASE_DIGEST_H_HEADER_GUARD
#define SEDGECART_BASE_DIGEST_H_HEADER_GUARD

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace sedgecart
{

/// @returns SHA-256 of `_text` as 64 lower-case hex digits.
std::string sha256Hex(const std::string& _text);

/// @returns a fast 64-bit hash (XXH3), not for secrets.
uint64_t hash64(const std::string& _text, uint64_t _seed = 0);

/// 128 bits of a hash.
struct Digest128
{
	uint64_t high = 0;
	uint64_t low = 0;
};

/// @returns a fast 128-bit hash (XXH3) of a sequence of texts and their lengths, not for secrets and not
/// collision-resistant against crafted input: two of a million texts collide with a probability of one in 10^26.
Digest128 hash128(std::initializer_list<std::string_view> _texts);

/// Compares two secrets in constant time, so that the duration does not reveal where they differ.
bool equalSecret(const std::string& _a, const std::string& _b);

} // namespace sedgecart

#endif // SEDGECART_BASE_DIGEST_H_HEADER_GUARD

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <base/digest.h>

#include <openssl/crypto.h>
#include <openssl/sha.h>

#include <xxhash.h>

#include <memory>

namespace sedgecart
{

namespace
{

struct FreeState
{
	void operator()(XXH3_state_t* _state) const
	{
		XXH3_freeState(_state);
	}
};

} // namespace

std::string sha256Hex(const std::string& _text)
{
	static const char kDigits[] = "0123456789abcdef";
	unsigned char raw[SHA256_DIGEST_LENGTH];
	SHA256(reinterpret_cast<const unsigned char*>(_text.data()), _text.size(), raw);
	std::string hex;
	hex.reserve(2 * sizeof(raw));
	for (const unsigned char byte : raw)
	{
		hex += kDigits[byte >> 4];
		hex += kDigits[byte & 15];
	}
	return hex;
}

uint64_t hash64(const std::string& _text, uint64_t _seed)
{
	return XXH3_64bits_withSeed(_text.data(), _text.size(), _seed);
}

Digest128 hash128(std::initializer_list<std::string_view> _texts)
{
	thread_local const std::unique_ptr<XXH3_state_t, FreeState> state(XXH3_createState());
	XXH3_128bits_reset(state.get());
	for (const std::string_view text : _texts)
	{
		const uint64_t size = text.size();
		XXH3_128bits_update(state.get(), &size, sizeof(size));
		XXH3_128bits_update(state.get(), text.data(), text.size());
	}
	const XXH128_hash_t hash = XXH3_128bits_digest(state.get());
	return Digest128{hash.high64, hash.low64};
}

bool equalSecret(const std::string& _a, const std::string& _b)
{
	return _a.size() == _b.size() && 0 == CRYPTO_memcmp(_a.data(), _b.data(), _a.size());
}

} // namespace sedgecart

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <base/digest.h>
#include <base/requestidentity.h>

#include <charconv>
#include <cstddef>

namespace sedgecart
{

namespace
{

/// Stands for the customer in the identity of a prompt part. No customer's hash is 0 but by a chance of 2^-64.
constexpr uint64_t kPromptPartCaller = 0;

constexpr int kHex = 16;
constexpr std::size_t kWordDigits = 16;
constexpr std::size_t kWords = 3;

void appendHex(std::string& _text, uint64_t _word)
{
	char digits[kWordDigits];
	const std::to_chars_result end = std::to_chars(digits, digits + kWordDigits, _word, kHex);
	const auto size = static_cast<std::size_t>(end.ptr - digits);
	_text.append(kWordDigits - size, '0');
	_text.append(digits, size);
}

bool readHex(std::string_view _text, uint64_t& _word)
{
	const char* const end = _text.data() + _text.size();
	const std::from_chars_result read = std::from_chars(_text.data(), end, _word, kHex);
	return std::errc() == read.ec && end == read.ptr;
}

} // namespace

bool RequestIdentity::isPromptPart() const
{
	return kPromptPartCaller == caller;
}

std::string RequestIdentity::text() const
{
	std::string text;
	text.reserve(kWords * kWordDigits);
	appendHex(text, caller);
	appendHex(text, high);
	appendHex(text, low);
	return text;
}

bool RequestIdentity::parse(std::string_view _text, RequestIdentity& _identity)
{
	if (kWords * kWordDigits != _text.size())
	{
		return false;
	}
	RequestIdentity found;
	const bool isRead = readHex(_text.substr(0, kWordDigits), found.caller) &&
	                    readHex(_text.substr(kWordDigits, kWordDigits), found.high) &&
	                    readHex(_text.substr(2 * kWordDigits), found.low);
	if (!isRead || found.text() != _text)
	{
		return false;
	}
	_identity = found;
	return true;
}

RequestIdentity identifyCaller(const RequestParts& _parts)
{
	const Digest128 caller = hash128({_parts.customer});
	const Digest128 rest = hash128({_parts.method, _parts.host, _parts.target, _parts.body});
	return RequestIdentity{caller.low, rest.high, rest.low};
}

RequestIdentity identifyPromptPart(std::string_view _service, std::string_view _part)
{
	const Digest128 digest = hash128({_service, _part});
	return RequestIdentity{kPromptPartCaller, digest.high, digest.low};
}

} // namespace sedgecart

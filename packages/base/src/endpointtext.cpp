// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <base/endpointtext.h>

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>
#include <cstdint>

namespace sedgecart
{

namespace
{

constexpr uint32_t kLastPort = 65535;

bool isPort(const std::string& _text)
{
	uint32_t port = 0;
	const char* const end = _text.data() + _text.size();
	const auto read = std::from_chars(_text.data(), end, port);
	return std::errc() == read.ec && read.ptr == end && 0 < port && port <= kLastPort;
}

/// Rejects the wildcard address (all bits 0), which stands for every address of a host and names none.
template <typename Address> bool isHost(int _family, const std::string& _text)
{
	Address address{};
	if (1 != inet_pton(_family, _text.c_str(), &address))
	{
		return false;
	}
	const auto* const bytes = reinterpret_cast<const unsigned char*>(&address);
	return std::any_of(bytes, bytes + sizeof(address),
	                   [](unsigned char _byte)
	                   {
		                   return 0 != _byte;
	                   });
}

} // namespace

bool isEndpoint(const std::string& _text)
{
	const std::size_t colon = _text.rfind(':');
	if (std::string::npos == colon || std::string::npos != _text.find('\0') || !isPort(_text.substr(colon + 1)))
	{
		return false;
	}
	const std::string host = _text.substr(0, colon);
	return isHost<in_addr>(AF_INET, host) || isHost<in6_addr>(AF_INET6, host);
}

} // namespace sedgecart

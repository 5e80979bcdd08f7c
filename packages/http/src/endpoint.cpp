// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <http/endpoint.h>

#include <charconv>

namespace sedgecart
{

Endpoint parseEndpoint(const std::string& _text)
{
	const std::size_t colon = _text.rfind(':');
	if (std::string::npos == colon || 0 == colon)
	{
		return Endpoint{};
	}
	uint16_t port = 0;
	const char* const end = _text.data() + _text.size();
	const auto parsed = std::from_chars(_text.data() + colon + 1, end, port);
	if (parsed.ptr != end || std::errc{} != parsed.ec)
	{
		return Endpoint{};
	}
	return Endpoint{_text.substr(0, colon), port};
}

} // namespace sedgecart

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_HTTP_ENDPOINT_H_HEADER_GUARD
#define SEDGECART_HTTP_ENDPOINT_H_HEADER_GUARD

#include <cstdint>
#include <string>

namespace sedgecart
{

/// An IP address and port.
struct Endpoint
{
	std::string ip;
	uint16_t port = 0;
};

/// @param _text "ip:port".
/// @returns the endpoint, port 0 if the text is not one.
Endpoint parseEndpoint(const std::string& _text);

inline bool isValid(const Endpoint& _endpoint)
{
	return 0 != _endpoint.port;
}

} // namespace sedgecart

#endif // SEDGECART_HTTP_ENDPOINT_H_HEADER_GUARD

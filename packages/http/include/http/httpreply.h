// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_HTTP_HTTPREPLY_H_HEADER_GUARD
#define SEDGECART_HTTP_HTTPREPLY_H_HEADER_GUARD

#include <cstdint>
#include <string>
#include <vector>

namespace sedgecart
{

/// One header line of a request or reply.
struct HttpHeader
{
	std::string name;
	std::string value;
};

/// A whole HTTP reply.
struct HttpReply
{
	uint16_t status = 200;
	std::string contentType = "application/json";
	std::string body;
	std::vector<HttpHeader> headers; //!< Beyond content type and length.
};

} // namespace sedgecart

#endif // SEDGECART_HTTP_HTTPREPLY_H_HEADER_GUARD

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "tcpendpoint_p.h"

#include <charconv>

namespace sedgecart
{

boost::asio::ip::tcp::endpoint tcpEndpointOf(const std::string& _address)
{
	using Endpoint = boost::asio::ip::tcp::endpoint;
	const std::size_t colon = _address.rfind(':');
	if (std::string::npos == colon)
	{
		return Endpoint();
	}
	uint16_t port = 0;
	std::from_chars(_address.data() + colon + 1, _address.data() + _address.size(), port);
	boost::system::error_code error;
	const auto ip = boost::asio::ip::make_address(_address.substr(0, colon), error);
	return error ? Endpoint() : Endpoint(ip, port);
}

} // namespace sedgecart

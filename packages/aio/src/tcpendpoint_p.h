// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_AIO_TCPENDPOINT_P_H_HEADER_GUARD
#define SEDGECART_AIO_TCPENDPOINT_P_H_HEADER_GUARD

#include <boost/asio/ip/tcp.hpp>

#include <string>

namespace sedgecart
{

/// @returns the endpoint of "ip:port"; one with port 0 if the text is malformed.
boost::asio::ip::tcp::endpoint tcpEndpointOf(const std::string& _address);

} // namespace sedgecart

#endif // SEDGECART_AIO_TCPENDPOINT_P_H_HEADER_GUARD

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_AIO_CONNECTPROBE_H_HEADER_GUARD
#define SEDGECART_AIO_CONNECTPROBE_H_HEADER_GUARD

#include <base/units.h>

#include <functional>
#include <string>

namespace boost::asio
{
class io_context;
} // namespace boost::asio

namespace sedgecart
{

/// Establishes a TCP connection and closes it again.
/// @param _address "ip:port".
/// @param _callback called once, on the loop: true if the connection was established in time.
void probeConnect(boost::asio::io_context& _loop, const std::string& _address, Duration _timeout,
                  std::function<void(bool)> _callback);

} // namespace sedgecart

#endif // SEDGECART_AIO_CONNECTPROBE_H_HEADER_GUARD

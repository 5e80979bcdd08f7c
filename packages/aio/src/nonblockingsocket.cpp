// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "nonblockingsocket_p.h"

#include <base/config.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>

#include <array>

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace sedgecart
{

namespace asio = boost::asio;

namespace
{

/// @returns the read buffer of this thread; a connection copies the bytes that it does not consume at once.
std::array<char, SEDGECART_CONFIG_SCRATCH_BYTES>& scratchBuffer()
{
	thread_local std::array<char, SEDGECART_CONFIG_SCRATCH_BYTES> bytes;
	return bytes;
}

bool wouldBlock(const boost::system::error_code& _error)
{
	return asio::error::would_block == _error || asio::error::try_again == _error;
}

} // namespace

NonBlockingSocket::NonBlockingSocket(asio::ip::tcp::socket _socket) : socket_(std::move(_socket))
{
}

void NonBlockingSocket::configure()
{
	boost::system::error_code ignored; // a socket without these options still works
	socket_.non_blocking(true, ignored);
	socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
	int unacknowledged = 0;
	if (!queryUnacknowledged(unacknowledged))
	{
		const unsigned timeoutMs = SEDGECART_CONFIG_UNACKNOWLEDGED_MS;
		setsockopt(socket_.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &timeoutMs, sizeof(timeoutMs));
	}
}

bool NonBlockingSocket::readSome(std::size_t _max, std::string_view& _bytes, SocketEnd::Enum& _end)
{
	boost::system::error_code error;
	auto& buffer = scratchBuffer();
	const std::size_t size = socket_.read_some(asio::buffer(buffer, _max), error);
	_bytes = std::string_view(buffer.data(), size);
	if (!error || wouldBlock(error))
	{
		return true;
	}
	_end = asio::error::eof == error ? SocketEnd::Orderly : SocketEnd::Reset;
	return false;
}

bool NonBlockingSocket::isOpenWithoutInput()
{
	char next = 0;
	boost::system::error_code error;
	socket_.receive(asio::buffer(&next, 1), asio::socket_base::message_peek, error);
	return wouldBlock(error);
}

bool NonBlockingSocket::hasPeerClosed()
{
	pollfd query{};
	query.fd = socket_.native_handle();
	query.events = POLLRDHUP;
	return 0 < poll(&query, 1, 0);
}

bool NonBlockingSocket::write(std::string_view _bytes)
{
	written_ += _bytes.size();
	if (!pending_.empty())
	{
		pending_.append(_bytes);
		return true;
	}
	return writeSome(_bytes);
}

bool NonBlockingSocket::writeSome(std::string_view _bytes)
{
	boost::system::error_code error;
	std::size_t done = 0;
	while (done < _bytes.size() && !error)
	{
		done += socket_.write_some(asio::buffer(_bytes.data() + done, _bytes.size() - done), error);
	}
	if (error && !wouldBlock(error))
	{
		return false;
	}
	pending_.assign(_bytes.substr(done));
	return true;
}

bool NonBlockingSocket::writePending()
{
	std::string rest;
	rest.swap(pending_);
	return writeSome(rest);
}

SentBytes NonBlockingSocket::sentBytes()
{
	int unacknowledged = 0;
	const bool known = queryUnacknowledged(unacknowledged);
	return SentBytes{written_, pendingBytes() + (known ? static_cast<uint64_t>(unacknowledged) : 0)};
}

bool NonBlockingSocket::queryUnacknowledged(int& _bytes)
{
	return 0 == ioctl(socket_.native_handle(), SIOCOUTQ, &_bytes);
}

void NonBlockingSocket::shutdownSend()
{
	++written_;                        // the kernel counts the FIN as a byte to be acknowledged
	boost::system::error_code ignored; // the peer may have closed first
	socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
}

void NonBlockingSocket::close()
{
	boost::system::error_code ignored; // the socket is not used any more
	socket_.close(ignored);
}

void NonBlockingSocket::reset()
{
	boost::system::error_code ignored; // the socket is not used any more
	socket_.set_option(asio::socket_base::linger(true, 0), ignored);
	socket_.close(ignored);
}

} // namespace sedgecart

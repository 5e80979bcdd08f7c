// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_AIO_NONBLOCKINGSOCKET_P_H_HEADER_GUARD
#define SEDGECART_AIO_NONBLOCKINGSOCKET_P_H_HEADER_GUARD

#include "deliverymonitor_p.h"

#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <string>
#include <string_view>

namespace sedgecart
{

/// How a connection ended on the peer's side.
struct SocketEnd
{
	enum Enum
	{
		Orderly, //!< The peer closed its sending side.
		Reset,   //!< The connection was reset or failed.

		Count
	};
};

/// Reads from and writes to a non-blocking TCP socket. An idle connection owns no read buffer: it waits until the
/// socket is readable and then reads into a scratch buffer of its thread. Writes pass to the socket at once what it
/// accepts and buffer the rest.
class NonBlockingSocket
{
public:
	explicit NonBlockingSocket(boost::asio::ip::tcp::socket _socket);

	/// Makes the socket non-blocking and disables Nagle's algorithm. Sets TCP_USER_TIMEOUT only if the kernel does not
	/// report unacknowledged bytes: the timeout would also end a connection whose peer receives slowly through a small
	/// window. Otherwise the owner has to detect a stalled peer by `sentBytes`.
	void configure();

	/// Calls `_onReadable` once the socket is readable; it must call `readSome` and wait again.
	template <typename Handler> void waitReadable(Handler _onReadable)
	{
		socket_.async_wait(boost::asio::ip::tcp::socket::wait_read, std::move(_onReadable));
	}

	/// Reads the available bytes.
	/// @param _max bytes; the scratch buffer holds SEDGECART_CONFIG_SCRATCH_BYTES.
	/// @param _bytes set to the bytes read, valid until the next call on this thread.
	/// @param _end set if the connection ended.
	/// @returns false if the connection ended.
	bool readSome(std::size_t _max, std::string_view& _bytes, SocketEnd::Enum& _end);

	/// @returns true if no unread bytes have arrived and the peer has not closed its side.
	bool isOpenWithoutInput();

	/// @returns true if the peer closed its side or the connection failed, even if unread bytes precede the end.
	/// @remarks An end is not detected if more unread bytes precede it than the kernel's receive buffer holds.
	bool hasPeerClosed();

	/// Writes what the socket accepts and buffers the rest.
	/// @returns false if the connection failed.
	bool write(std::string_view _bytes);

	/// Calls `_onWritable` once the socket accepts more bytes.
	template <typename Handler> void waitWritable(Handler _onWritable)
	{
		socket_.async_wait(boost::asio::ip::tcp::socket::wait_write, std::move(_onWritable));
	}

	/// Writes from the buffered bytes.
	/// @returns false if the connection failed.
	bool writePending();

	/// @returns the number of buffered bytes, which the socket has not accepted yet.
	std::size_t pendingBytes() const
	{
		return pending_.size();
	}

	/// @returns the bytes written, and those of them that the peer has not acknowledged, buffered ones included.
	/// @remarks If the kernel does not report its unacknowledged bytes, they count as acknowledged.
	SentBytes sentBytes();

	/// Closes the sending side.
	void shutdownSend();

	void close();

	/// Closes with a reset, so that the peer cannot take a partial response for a complete one.
	void reset();

	boost::asio::ip::tcp::socket& tcpSocket()
	{
		return socket_;
	}

private:
	/// Queries the number of bytes that the kernel holds and the peer has not acknowledged (SIOCOUTQ).
	/// @returns false if the kernel does not report it.
	bool queryUnacknowledged(int& _bytes);

	/// Passes to the socket what it accepts and buffers the rest.
	/// @returns false if the connection failed.
	bool writeSome(std::string_view _bytes);

	boost::asio::ip::tcp::socket socket_;
	std::string pending_;  //!< Not accepted by the socket yet.
	uint64_t written_ = 0; //!< Bytes since the connection was established.
};

} // namespace sedgecart

#endif // SEDGECART_AIO_NONBLOCKINGSOCKET_P_H_HEADER_GUARD

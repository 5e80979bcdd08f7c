// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_AIO_SOCKETPUMP_P_H_HEADER_GUARD
#define SEDGECART_AIO_SOCKETPUMP_P_H_HEADER_GUARD

#include "deliverywatch_p.h"

#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <string>
#include <string_view>

namespace sedgecart
{

/// How a connection ended.
struct SocketEnd
{
	enum Enum
	{
		Orderly, //!< The peer closed its side.
		Reset,   //!< It broke.

		Count
	};
};

/// Moves bytes of one non-blocking socket. A connection that waits holds no read buffer: it waits until the socket is
/// readable and reads into the scratch space of its thread. A write goes out at once as far as the socket takes it.
class SocketPump
{
public:
	explicit SocketPump(boost::asio::ip::tcp::socket _socket);

	/// Makes the socket ready for use: non-blocking, no delay. Where the system does not tell what it holds, it is to
	/// end a connection whose bytes stay unacknowledged. Else whoever looks at `sent` does: the system would also end
	/// one whose peer receives slowly through a small window.
	void prepare();

	/// Waits until there is something to read, then calls. `_onReadable` must call `readSome` and wait again.
	template <typename Handler> void waitReadable(Handler _onReadable)
	{
		socket_.async_wait(boost::asio::ip::tcp::socket::wait_read, std::move(_onReadable));
	}

	/// Reads what is there, up to the scratch space.
	/// @param _bytes set to what was read, valid until the next call on this thread.
	/// @returns false if the connection ended, `_end` says how.
	bool readSome(std::string_view& _bytes, SocketEnd::Enum& _end);

	/// @returns true if the peer has neither sent anything that was not read yet nor closed its side.
	bool isQuiet();

	/// @returns true if the peer closed its side or the connection broke, also behind bytes that were not read yet.
	/// @remarks An end behind more bytes than the system takes in unread is not seen.
	bool peerEnded();

	/// Writes what the socket takes and keeps the rest.
	/// @returns false if the connection broke.
	bool write(std::string_view _bytes);

	/// Waits until the socket takes more.
	template <typename Handler> void waitWritable(Handler _onWritable)
	{
		socket_.async_wait(boost::asio::ip::tcp::socket::wait_write, std::move(_onWritable));
	}

	/// Writes from what was kept. @returns false if the connection broke.
	bool writeKept();

	/// @returns bytes that the socket did not take yet.
	std::size_t kept() const
	{
		return kept_.size();
	}

	/// @returns what was written, and how much of it the peer has not acknowledged, whether the socket took it or not.
	/// @remarks Where the system does not tell what it holds, that counts as acknowledged.
	SentBytes sent();

	/// Says that nothing more will be sent.
	void shutdownSend();

	void close();

	/// Closes with a reset, so that the peer cannot take what it got for a whole answer.
	void reset();

	boost::asio::ip::tcp::socket& socket()
	{
		return socket_;
	}

private:
	/// @returns false if the system does not tell.
	bool systemHolds(int& _bytes);

	/// Hands the socket what it takes and keeps the rest. @returns false if the connection broke.
	bool put(std::string_view _bytes);

	boost::asio::ip::tcp::socket socket_;
	std::string kept_;
	uint64_t written_ = 0;
};

} // namespace sedgecart

#endif // SEDGECART_AIO_SOCKETPUMP_P_H_HEADER_GUARD

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_TESTS_HARNESS_PLAINCALLER_H_HEADER_GUARD
#define SEDGECART_TESTS_HARNESS_PLAINCALLER_H_HEADER_GUARD

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <string>

namespace sedgecart
{

/// A caller's blocking connection.
class PlainCaller
{
public:
	using Tcp = boost::asio::ip::tcp;

	explicit PlainCaller(const Tcp::endpoint& _server) : socket_(loop_)
	{
		socket_.connect(_server);
	}

	/// @param _receiveBytes size of the socket's receive buffer.
	PlainCaller(const Tcp::endpoint& _server, int _receiveBytes) : socket_(loop_, Tcp::v4())
	{
		socket_.set_option(boost::asio::socket_base::receive_buffer_size(_receiveBytes));
		socket_.connect(_server);
	}

	void send(const std::string& _text)
	{
		boost::asio::write(socket_, boost::asio::buffer(_text));
	}

	/// @returns what came up to a text, or up to the end.
	std::string receive(const std::string& _until = std::string())
	{
		std::string all;
		std::array<char, 65536> space{};
		while (!end_ && (_until.empty() || std::string::npos == all.find(_until)))
		{
			all.append(space.data(), socket_.read_some(boost::asio::buffer(space), end_));
		}
		return all;
	}

	/// @returns what one read of at most so many bytes gave; empty at the end.
	std::string receiveSome(std::size_t _most)
	{
		std::string some(_most, '\0');
		some.resize(socket_.read_some(boost::asio::buffer(some), end_));
		return some;
	}

	/// @returns how the connection ended, once all was received.
	const boost::system::error_code& end() const
	{
		return end_;
	}

	void close()
	{
		socket_.close();
	}

	/// Ends what another thread sends, too.
	void shutdown()
	{
		boost::system::error_code ignored; // the server may have closed first
		socket_.shutdown(Tcp::socket::shutdown_both, ignored);
	}

private:
	boost::asio::io_context loop_;
	Tcp::socket socket_;
	boost::system::error_code end_;
};

/// @param _lines more header lines.
inline std::string get(const std::string& _target, const std::string& _lines = std::string())
{
	return "GET " + _target + " HTTP/1.1\r\nHost: h.example\r\n" + _lines + "\r\n";
}

} // namespace sedgecart

#endif // SEDGECART_TESTS_HARNESS_PLAINCALLER_H_HEADER_GUARD

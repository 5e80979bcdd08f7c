// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <aio/clientconnection.h>
#include <base/config.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <chrono>
#include <string>
#include <thread>

namespace sedgecart
{

namespace
{

using Tcp = boost::asio::ip::tcp;

constexpr Duration kBound = Duration::fromMillis(800);

/// Receive buffer of a peer, and a body of a request that it does not hold, bytes.
constexpr int kSmallReceive = 8 * 1024;
constexpr std::size_t kLargeBody = 400000;
const std::string kLargeHead = "POST / HTTP/1.1\r\nContent-Length: 400000\r\n\r\n";

/// So long that a connection without progress would have been given up.
constexpr std::chrono::milliseconds kSlowTime{SEDGECART_CONFIG_UNACKNOWLEDGED_MS + 2000};

/// Notes how an exchange ends.
class Ending : public ExchangeHandlerI
{
public:
	void onSent() override
	{
	}
	HeadVerdict::Enum onHead(MessageHead&) override
	{
		return HeadVerdict::Take;
	}
	void onBody(std::string_view) override
	{
	}
	void onWhole() override
	{
		ended = true;
	}
	void onBroken(ExchangeBreak::Enum _how) override
	{
		how = _how;
		ended = true;
	}

	ExchangeBreak::Enum how = ExchangeBreak::Count;
	bool ended = false;
};

std::string textOf(const Tcp::endpoint& _endpoint)
{
	return "127.0.0.1:" + std::to_string(_endpoint.port());
}

} // namespace

class ClientConnectionTest : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(ClientConnectionTest);
	CPPUNIT_TEST(whereNobodyListensItIsRefused);
	CPPUNIT_TEST(aResetThatIsSeenLateIsNoRefusal);
	CPPUNIT_TEST(whatThePeerHasClosedIsNotUsedAgain);
	CPPUNIT_TEST(whatThePeerKeepsIsUsedAgain);
	CPPUNIT_TEST(aPeerThatReceivesSlowlyGetsAllOfARequest);
	CPPUNIT_TEST(aPeerThatReceivesNothingIsGivenUp);
	CPPUNIT_TEST_SUITE_END();

public:
	void whereNobodyListensItIsRefused()
	{
		Tcp::acceptor acceptor(server_, Tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
		const std::string address = textOf(acceptor.local_endpoint());
		acceptor.close();
		CPPUNIT_ASSERT(ExchangeBreak::Refused == exchange(address, std::chrono::milliseconds(0)));
	}

	/// A peer with too many connections takes one and resets it. A node that looks only then sees the connect fail: the
	/// peer lives all the same.
	void aResetThatIsSeenLateIsNoRefusal()
	{
		Tcp::acceptor acceptor(server_, Tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
		std::thread peer(
		    [&acceptor]
		    {
			    Tcp::socket one = acceptor.accept();
			    one.set_option(boost::asio::socket_base::linger(true, 0));
			    one.close();
		    });
		const ExchangeBreak::Enum how = exchange(textOf(acceptor.local_endpoint()), std::chrono::milliseconds(50));
		peer.join();
		CPPUNIT_ASSERT(ExchangeBreak::TurnedAway == how || ExchangeBreak::Cut == how);
	}

	/// A target that ends in good order closes its kept connections. A node that has not looked since would send a
	/// request into one, which is then lost, and counts as begun.
	void whatThePeerHasClosedIsNotUsedAgain()
	{
		CPPUNIT_ASSERT(!isReusable(true));
	}

	void whatThePeerKeepsIsUsedAgain()
	{
		CPPUNIT_ASSERT(isReusable(false));
	}

	/// A target with a small window acknowledged parts of a large request all the time, and its connection was cut.
	void aPeerThatReceivesSlowlyGetsAllOfARequest()
	{
		CPPUNIT_ASSERT(ExchangeBreak::Count == sendLarge(true));
	}

	void aPeerThatReceivesNothingIsGivenUp()
	{
		CPPUNIT_ASSERT(ExchangeBreak::Cut == sendLarge(false));
	}

private:
	/// Sends a request that is larger than what the peer's socket takes.
	/// @param _receives the peer receives all of it, slowly at first, and answers; else it receives nothing.
	/// @returns how the exchange broke, or Count.
	ExchangeBreak::Enum sendLarge(bool _receives)
	{
		Tcp::acceptor acceptor(server_, Tcp::v4());
		acceptor.set_option(boost::asio::socket_base::receive_buffer_size(kSmallReceive));
		acceptor.bind(Tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
		acceptor.listen();
		Ending ending;
		ClientConnection connection(loop_, textOf(acceptor.local_endpoint()));
		connection.exchange(kLargeHead + std::string(kLargeBody, 'y'), ending, kBound);
		std::thread peer(
		    [&acceptor, _receives]
		    {
			    Tcp::socket socket = acceptor.accept();
			    _receives ? receiveSlowlyAndAnswer(socket) : std::this_thread::sleep_for(kSlowTime);
		    });
		while (!ending.ended && 0 < loop_.run_one())
		{
		}
		peer.join();
		return ending.how;
	}

	static void receiveSlowlyAndAnswer(Tcp::socket& _socket)
	{
		std::array<char, 1024> space{};
		boost::system::error_code error;
		const auto slowUntil = std::chrono::steady_clock::now() + kSlowTime;
		std::size_t received = 0;
		while (!error && received < kLargeHead.size() + kLargeBody)
		{
			received += _socket.read_some(boost::asio::buffer(space), error);
			if (std::chrono::steady_clock::now() < slowUntil)
			{
				std::this_thread::sleep_for(std::chrono::milliseconds(100));
			}
		}
		boost::asio::write(_socket, boost::asio::buffer(std::string("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")),
		                   error);
	}

	/// @param _closes the peer closes the connection behind its answer, and the loop does not run from then on.
	bool isReusable(bool _closes)
	{
		Tcp::acceptor acceptor(server_, Tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
		Ending ending;
		ClientConnection connection(loop_, textOf(acceptor.local_endpoint()));
		connection.exchange("GET / HTTP/1.1\r\n\r\n", ending, kBound);
		Tcp::socket peer = acceptor.accept();
		boost::asio::write(peer, boost::asio::buffer(std::string("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")));
		while (!ending.ended && 0 < loop_.run_one())
		{
		}
		CPPUNIT_ASSERT(ExchangeBreak::Count == ending.how);
		if (_closes)
		{
			std::array<char, 64> request{};
			peer.read_some(boost::asio::buffer(request)); // unread bytes would make it a reset
			peer.close();
			std::this_thread::sleep_for(std::chrono::milliseconds(50));
		}
		return connection.reusable();
	}

	/// @param _late how long the loop does not run after the exchange has begun.
	ExchangeBreak::Enum exchange(const std::string& _address, std::chrono::milliseconds _late)
	{
		Ending ending;
		ClientConnection connection(loop_, _address);
		connection.exchange("GET / HTTP/1.1\r\n\r\n", ending, kBound);
		std::this_thread::sleep_for(_late);
		while (!ending.ended && 0 < loop_.run_one())
		{
		}
		return ending.how;
	}

	boost::asio::io_context server_;
	boost::asio::io_context loop_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClientConnectionTest);

} // namespace sedgecart

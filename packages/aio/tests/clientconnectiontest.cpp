// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <aio/clientconnection.h>
#include <base/config.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <chrono>
#include <future>
#include <string>
#include <thread>

#include <malloc.h>

namespace sedgecart
{

namespace
{

using Tcp = boost::asio::ip::tcp;

constexpr Duration kConnectTimeout = Duration::fromMillis(800);

/// Receive buffer of a peer, and a request body that exceeds it, bytes.
constexpr int kSmallReceive = 8 * 1024;
constexpr std::size_t kLargeBody = 400000;
const std::string kLargeHead = "POST / HTTP/1.1\r\nContent-Length: 400000\r\n\r\n";

/// Longer than the time after which a connection without progress is aborted.
constexpr std::chrono::milliseconds kSlowDuration{SEDGECART_CONFIG_UNACKNOWLEDGED_MS + 2000};

/// Body whose copy shows in the memory of the process, bytes.
constexpr std::size_t kUpload = 8UL * 1024 * 1024;

/// @returns bytes that are allocated now.
std::size_t allocatedBytes()
{
	const struct mallinfo2 info = mallinfo2();
	return info.uordblks + info.hblkhd;
}

/// Records how an exchange ends.
class RecordingHandler : public ExchangeHandlerI
{
public:
	void onSent() override
	{
	}
	HeadVerdict::Enum onHead(MessageHead&) override
	{
		return HeadVerdict::Accept;
	}
	void onBody(std::string_view) override
	{
	}
	void onComplete() override
	{
		ended = true;
	}
	void onFailed(ExchangeFailure::Enum _failure) override
	{
		failure = _failure;
		ended = true;
	}

	ExchangeFailure::Enum failure = ExchangeFailure::Count; //!< Count: none.
	bool ended = false;
};

std::string addressOf(const Tcp::endpoint& _endpoint)
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
	CPPUNIT_TEST(aRequestThatIsSentTakesNoMemory);
	CPPUNIT_TEST(aBodyIsNotCopiedToBeSent);
	CPPUNIT_TEST(aBodyArrivesWhole);
	CPPUNIT_TEST_SUITE_END();

public:
	void whereNobodyListensItIsRefused()
	{
		Tcp::acceptor acceptor(server_, Tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
		const std::string address = addressOf(acceptor.local_endpoint());
		acceptor.close();
		CPPUNIT_ASSERT(ExchangeFailure::Refused == exchange(address, std::chrono::milliseconds(0)));
	}

	/// A peer at its connection limit accepts a connection and resets it. If the loop handles the connect only after
	/// the reset, the connect fails, but the peer is alive: this must not be reported as a refused connection.
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
		const ExchangeFailure::Enum failure =
		    exchange(addressOf(acceptor.local_endpoint()), std::chrono::milliseconds(50));
		peer.join();
		CPPUNIT_ASSERT(ExchangeFailure::ResetOnConnect == failure || ExchangeFailure::ConnectionLost == failure);
	}

	/// A target that shuts down closes its idle connections. A request sent on one before the loop has handled the
	/// close is lost, and counts as started.
	void whatThePeerHasClosedIsNotUsedAgain()
	{
		CPPUNIT_ASSERT(!isReusable(true));
	}

	void whatThePeerKeepsIsUsedAgain()
	{
		CPPUNIT_ASSERT(isReusable(false));
	}

	/// Guards against aborting a connection whose peer has a small window and keeps acknowledging parts of a large
	/// request.
	void aPeerThatReceivesSlowlyGetsAllOfARequest()
	{
		CPPUNIT_ASSERT(ExchangeFailure::Count == sendLarge(true));
	}

	void aPeerThatReceivesNothingIsGivenUp()
	{
		CPPUNIT_ASSERT(ExchangeFailure::ConnectionLost == sendLarge(false));
	}

	/// Guards against nodes that hold each upload twice or three times while its target reads slowly.
	void aBodyIsNotCopiedToBeSent()
	{
		Tcp::acceptor acceptor(server_, Tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
		const auto body = std::make_shared<const std::string>(kUpload, 'y');
		RecordingHandler handler;
		ClientConnection connection(loop_, addressOf(acceptor.local_endpoint()));
		const std::size_t before = allocatedBytes();
		connection.exchange(OutgoingRequest(std::string("POST / HTTP/1.1\r\n\r\n"), body), handler, kConnectTimeout);
		Tcp::socket peer = acceptor.accept();
		loop_.run_for(std::chrono::milliseconds(100)); // until the sockets are full
		CPPUNIT_ASSERT(allocatedBytes() < before + kUpload / 8);
	}

	/// Its owner may be gone by then.
	void aBodyArrivesWhole()
	{
		Tcp::acceptor acceptor(server_, Tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
		const std::string head = "POST / HTTP/1.1\r\n\r\n";
		std::string body;
		for (std::size_t index = 0; index < kUpload; ++index)
		{
			body += static_cast<char>('a' + index % 23);
		}
		std::string arrived(head.size() + body.size(), ' ');
		std::thread peer(
		    [&]
		    {
			    Tcp::socket socket = acceptor.accept();
			    boost::asio::read(socket, boost::asio::buffer(arrived));
			    answer(socket);
		    });
		RecordingHandler handler;
		ClientConnection connection(loop_, addressOf(acceptor.local_endpoint()));
		connection.exchange(OutgoingRequest(head, std::make_shared<const std::string>(body)), handler, kConnectTimeout);
		while (!handler.ended && 0 < loop_.run_one())
		{
		}
		peer.join();
		CPPUNIT_ASSERT(head + body == arrived);
	}

	/// Guards against keeping the text of a request for as long as its connection is open, so that uploads end a node
	/// by its memory.
	void aRequestThatIsSentTakesNoMemory()
	{
		Tcp::acceptor acceptor(server_, Tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
		std::promise<void> received;
		std::promise<void> mayAnswer;
		std::thread peer(
		    [&]
		    {
			    Tcp::socket socket = acceptor.accept();
			    receive(socket, kUpload);
			    received.set_value();
			    mayAnswer.get_future().wait();
			    answer(socket);
		    });
		const std::size_t before = allocatedBytes();
		RecordingHandler handler;
		ClientConnection connection(loop_, addressOf(acceptor.local_endpoint()));
		connection.exchange(std::string(kUpload, 'y'), handler, kConnectTimeout);
		const auto isReceived = received.get_future();
		while (std::future_status::ready != isReceived.wait_for(std::chrono::seconds(0)))
		{
			loop_.run_for(std::chrono::milliseconds(10));
		}
		const std::size_t whileWaiting = allocatedBytes();
		mayAnswer.set_value();
		while (!handler.ended && 0 < loop_.run_one())
		{
		}
		peer.join();
		CPPUNIT_ASSERT(ExchangeFailure::Count == handler.failure);
		CPPUNIT_ASSERT(whileWaiting < before + kUpload / 8);
		CPPUNIT_ASSERT(allocatedBytes() < before + kUpload / 8);
	}

private:
	static void receive(Tcp::socket& _socket, std::size_t _bytes)
	{
		std::array<char, 16384> buffer{};
		boost::system::error_code error;
		for (std::size_t received = 0; !error && received < _bytes;)
		{
			received += _socket.read_some(boost::asio::buffer(buffer), error);
		}
	}

	static void answer(Tcp::socket& _socket)
	{
		boost::system::error_code ignored; // the test sees that no answer came
		boost::asio::write(_socket, boost::asio::buffer(std::string("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")),
		                   ignored);
	}

	/// Sends a request that is larger than the peer's receive buffer.
	/// @param _receives the peer receives all of it, slowly at first, and answers; else it receives nothing.
	/// @returns how the exchange failed, Count if it did not.
	ExchangeFailure::Enum sendLarge(bool _receives)
	{
		Tcp::acceptor acceptor(server_, Tcp::v4());
		acceptor.set_option(boost::asio::socket_base::receive_buffer_size(kSmallReceive));
		acceptor.bind(Tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
		acceptor.listen();
		RecordingHandler handler;
		ClientConnection connection(loop_, addressOf(acceptor.local_endpoint()));
		connection.exchange(kLargeHead + std::string(kLargeBody, 'y'), handler, kConnectTimeout);
		std::thread peer(
		    [&acceptor, _receives]
		    {
			    Tcp::socket socket = acceptor.accept();
			    _receives ? receiveSlowlyAndAnswer(socket) : std::this_thread::sleep_for(kSlowDuration);
		    });
		while (!handler.ended && 0 < loop_.run_one())
		{
		}
		peer.join();
		return handler.failure;
	}

	static void receiveSlowlyAndAnswer(Tcp::socket& _socket)
	{
		std::array<char, 1024> buffer{};
		boost::system::error_code error;
		const auto slowUntil = std::chrono::steady_clock::now() + kSlowDuration;
		std::size_t received = 0;
		while (!error && received < kLargeHead.size() + kLargeBody)
		{
			received += _socket.read_some(boost::asio::buffer(buffer), error);
			if (std::chrono::steady_clock::now() < slowUntil)
			{
				std::this_thread::sleep_for(std::chrono::milliseconds(100));
			}
		}
		boost::asio::write(_socket, boost::asio::buffer(std::string("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")),
		                   error);
	}

	/// @param _closes the peer closes the connection after its response, and the loop does not run after that.
	bool isReusable(bool _closes)
	{
		Tcp::acceptor acceptor(server_, Tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
		RecordingHandler handler;
		ClientConnection connection(loop_, addressOf(acceptor.local_endpoint()));
		connection.exchange(std::string("GET / HTTP/1.1\r\n\r\n"), handler, kConnectTimeout);
		Tcp::socket peer = acceptor.accept();
		boost::asio::write(peer, boost::asio::buffer(std::string("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")));
		while (!handler.ended && 0 < loop_.run_one())
		{
		}
		CPPUNIT_ASSERT(ExchangeFailure::Count == handler.failure);
		if (_closes)
		{
			std::array<char, 64> request{};
			peer.read_some(boost::asio::buffer(request)); // closing with unread bytes would reset the connection
			peer.close();
			std::this_thread::sleep_for(std::chrono::milliseconds(50));
		}
		return connection.reusable();
	}

	/// @param _delay how long the loop does not run after the exchange has started.
	ExchangeFailure::Enum exchange(const std::string& _address, std::chrono::milliseconds _delay)
	{
		RecordingHandler handler;
		ClientConnection connection(loop_, _address);
		connection.exchange(std::string("GET / HTTP/1.1\r\n\r\n"), handler, kConnectTimeout);
		std::this_thread::sleep_for(_delay);
		while (!handler.ended && 0 < loop_.run_one())
		{
		}
		return handler.failure;
	}

	boost::asio::io_context server_;
	boost::asio::io_context loop_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClientConnectionTest);

} // namespace sedgecart

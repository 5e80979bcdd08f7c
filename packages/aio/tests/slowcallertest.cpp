// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "../src/acceptedconnection_p.h"
#include "plainhandler.h"

#include <base/config.h>

#include <boost/asio/executor_work_guard.hpp>
#include <cppunit/extensions/HelperMacros.h>
#include <harness/plaincaller.h>

#include <algorithm>
#include <chrono>
#include <future>
#include <string>
#include <thread>
#include <vector>

namespace sedgecart
{

namespace
{

using Tcp = boost::asio::ip::tcp;
using Millis = std::chrono::milliseconds;

/// Buffers of the two sockets, bytes. The sending socket accepts more once a third of its buffer is free, which is more
/// than a slow caller receives in the time that a connection waits for progress.
constexpr int kSendBuffer = 256 * 1024;
constexpr int kReceiveBuffer = 8 * 1024;

/// More than both sockets' buffers hold, and less than the send buffer holds, bytes.
constexpr std::size_t kLargeBody = 1024UL * 1024;
constexpr std::size_t kSystemBody = 100UL * 1024;

/// What a slow caller reads at a time, bytes, and the interval between reads.
constexpr std::size_t kSlowReadBytes = 1024;
constexpr Millis kSlowReadInterval{100};

/// Longer than the time after which a connection without progress is aborted.
constexpr Millis kSlowDuration{SEDGECART_CONFIG_UNACKNOWLEDGED_MS + 2000};

constexpr std::size_t kChunks = 16; //!< Of a chunked response.

/// Server on its own thread, whose sockets have a send buffer of kSendBuffer. Responds to "/chunked" with a chunked
/// body, to "/system" with a body that fits the send buffer, and to all else with a large body.
class SmallBufferServer : public PlainHandler
{
public:
	SmallBufferServer() : guard_(loop_.get_executor()), acceptor_(loop_)
	{
		acceptor_.open(Tcp::v4());
		acceptor_.set_option(boost::asio::socket_base::send_buffer_size(kSendBuffer)); // inherited by accepted sockets
		acceptor_.bind(Tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
		acceptor_.listen();
		accept();
		thread_ = std::thread(
		    [this]
		    {
			    loop_.run();
		    });
	}

	~SmallBufferServer() override
	{
		loop_.stop();
		thread_.join();
	}

	Tcp::endpoint endpoint() const
	{
		return acceptor_.local_endpoint();
	}

	void onRequest(const std::shared_ptr<ServerConnection>& _connection, ServerRequest&& _request) override
	{
		ResponseStart start;
		if ("/chunked" == _request.head.target)
		{
			start.framing = BodyFraming::Chunked;
			_connection->start(start, std::string_view());
			for (std::size_t chunk = 0; chunk < kChunks; ++chunk)
			{
				_connection->send(std::string(kLargeBody / kChunks, 'x'));
			}
			_connection->finish();
			return;
		}
		start.length = "/system" == _request.head.target ? kSystemBody : kLargeBody;
		_connection->start(start, std::string(start.length, 'x'));
		_connection->finish();
	}

	void onCallerDisconnected(const ServerConnection&) override
	{
	}

private:
	void accept()
	{
		acceptor_.async_accept(
		    [this](const boost::system::error_code& _error, Tcp::socket _socket)
		    {
			    if (_error)
			    {
				    return;
			    }
			    const std::weak_ptr<ConnectionOwnerI> nobody;
			    std::make_shared<AcceptedConnection>(std::move(_socket), *this, nobody)->startReading();
			    accept();
		    });
	}

	boost::asio::io_context loop_;
	boost::asio::executor_work_guard<boost::asio::io_context::executor_type> guard_;
	Tcp::acceptor acceptor_;
	std::thread thread_;
};

/// What a caller received, and how its connection ended.
struct Received
{
	std::string answer;
	boost::system::error_code end;

	/// @returns the number of body bytes, without chunk framing.
	std::size_t body() const
	{
		const std::size_t begin = answer.find("\r\n\r\n");
		return static_cast<std::size_t>(std::count(answer.begin() + static_cast<int64_t>(begin), answer.end(), 'x'));
	}
};

/// Receives slowly for a while, then as fast as it can.
Received receiveSlowly(const Tcp::endpoint& _server, const std::string& _request)
{
	PlainCaller caller(_server, kReceiveBuffer);
	caller.send(_request);
	Received received;
	const auto slowUntil = std::chrono::steady_clock::now() + kSlowDuration;
	while (!caller.end() && std::chrono::steady_clock::now() < slowUntil)
	{
		received.answer += caller.receiveSome(kSlowReadBytes);
		std::this_thread::sleep_for(kSlowReadInterval);
	}
	received.answer += caller.receive();
	received.end = caller.end();
	return received;
}

/// Sends a request, pauses, sends another one, and receives everything.
Received sendMoreAndReceive(const Tcp::endpoint& _server, const std::string& _request, Millis _pause)
{
	PlainCaller caller(_server, kReceiveBuffer);
	caller.send(_request);
	std::this_thread::sleep_for(_pause);
	caller.send(get("/system", "Connection: close\r\n"));
	Received received;
	received.answer = caller.receive();
	received.end = caller.end();
	return received;
}

} // namespace

/// Bytes that the kernel has accepted from the process are not yet received by the caller.
class SlowCallerTest : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(SlowCallerTest);
	CPPUNIT_TEST(aCallerThatReceivesSlowlyGetsAll);
	CPPUNIT_TEST(aCallerThatSendsMoreGetsAllOfTheLastAnswer);
	CPPUNIT_TEST(aCallerThatSendsMoreGetsAllOnAKeptConnection);
	CPPUNIT_TEST(aCallerThatReceivesNothingSeesAReset);
	CPPUNIT_TEST_SUITE_END();

public:
	/// The kernel accepts more from the process only in large steps. Guards against taking that for a stall, by which a
	/// slow caller would receive 4 of 12 MB, say, and an orderly close that hides the loss.
	void aCallerThatReceivesSlowlyGetsAll()
	{
		SmallBufferServer server;
		std::vector<std::future<Received>> callers;
		for (const std::string& request :
		     {get("/", "Connection: close\r\n"), get("/"), get("/chunked", "Connection: close\r\n"), get("/chunked")})
		{
			callers.push_back(std::async(std::launch::async, receiveSlowly, server.endpoint(), request));
		}
		for (std::future<Received>& caller : callers)
		{
			CPPUNIT_ASSERT_EQUAL(kLargeBody, caller.get().body());
		}
	}

	/// Guards against closing after the linger timeout while the kernel still holds the response: bytes that the caller
	/// sends to a closed connection reset it.
	void aCallerThatSendsMoreGetsAllOfTheLastAnswer()
	{
		SmallBufferServer server;
		const Received received = sendMoreAndReceive(server.endpoint(), get("/system", "Connection: close\r\n"),
		                                             Millis(SEDGECART_CONFIG_LINGER_MS + 500));
		CPPUNIT_ASSERT_EQUAL(kSystemBody, received.body());
	}

	/// As above, on a kept connection: it is not idle before the caller has received the response.
	void aCallerThatSendsMoreGetsAllOnAKeptConnection()
	{
		SmallBufferServer server;
		const Received received =
		    sendMoreAndReceive(server.endpoint(), get("/system"), Millis(server.idleTimeout().millis() + 500));
		CPPUNIT_ASSERT_EQUAL(2 * kSystemBody, received.body());
	}

	/// A caller that does not know the length would take an orderly close for the end of a complete response.
	void aCallerThatReceivesNothingSeesAReset()
	{
		SmallBufferServer server;
		PlainCaller caller(server.endpoint(), kReceiveBuffer);
		caller.send(get("/chunked", "Connection: close\r\n"));
		std::this_thread::sleep_for(Millis(SEDGECART_CONFIG_UNACKNOWLEDGED_MS + 1500));
		CPPUNIT_ASSERT(caller.receive().size() < kLargeBody);
		CPPUNIT_ASSERT_EQUAL(std::string("Connection reset by peer"), caller.end().message());
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(SlowCallerTest);

} // namespace sedgecart

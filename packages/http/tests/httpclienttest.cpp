// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <http/httpclient.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <string>
#include <thread>

namespace sedgecart
{

namespace
{

using Tcp = boost::asio::ip::tcp;

/// @returns what a call gets from a server that sends these bytes and closes.
HttpOutcome outcomeOf(const std::string& _reply)
{
	boost::asio::io_context loop;
	Tcp::acceptor acceptor(loop, Tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
	std::thread server(
	    [&acceptor, &_reply]
	    {
		    Tcp::socket socket = acceptor.accept();
		    std::array<char, 4096> request{};
		    socket.read_some(boost::asio::buffer(request));
		    boost::asio::write(socket, boost::asio::buffer(_reply));
	    });
	HttpClient client(Endpoint{"127.0.0.1", acceptor.local_endpoint().port()});
	HttpCall call;
	call.method = "GET";
	call.target = "/";
	HttpOutcome outcome = client.call(call, Duration::fromMillis(5000));
	server.join();
	return outcome;
}

/// @returns how many bytes a call reads from a server that sends a start and then a piece again and again.
std::size_t readOf(const std::string& _start, const std::string& _piece, bool _isStream)
{
	constexpr std::size_t kMostSent = 64UL * 1024 * 1024;
	boost::asio::io_context loop;
	Tcp::acceptor acceptor(loop, Tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
	std::size_t sent = 0;
	std::thread server(
	    [&]
	    {
		    Tcp::socket socket = acceptor.accept();
		    std::array<char, 4096> request{};
		    socket.read_some(boost::asio::buffer(request));
		    boost::system::error_code error;
		    boost::asio::write(socket, boost::asio::buffer(_start), error);
		    while (!error && sent < kMostSent)
		    {
			    sent += boost::asio::write(socket, boost::asio::buffer(_piece), error);
		    }
	    });
	{
		HttpClient client(Endpoint{"127.0.0.1", acceptor.local_endpoint().port()});
		HttpCall call;
		call.method = "GET";
		call.target = "/";
		std::string data;
		if (_isStream)
		{
			client.openStream(call, Duration::fromMillis(5000));
			client.next(Duration::fromMillis(5000), data);
		}
		else
		{
			client.call(call, Duration::fromMillis(5000));
		}
		client.close();
	}
	server.join();
	return sent;
}

} // namespace

class HttpClientTest : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(HttpClientTest);
	CPPUNIT_TEST(aStatusThatHttpDoesNotDefineIsNoReply);
	CPPUNIT_TEST(aNameWithABlankOrControlByteIsNoReply);
	CPPUNIT_TEST(aReplyThatIsCutIsNoReply);
	CPPUNIT_TEST(bytesWithoutEndTakeBoundedMemory);
	CPPUNIT_TEST_SUITE_END();

public:
	/// A target's answer with status 000 reached a caller as an answer.
	void aStatusThatHttpDoesNotDefineIsNoReply()
	{
		for (const char* const status : {"000", "099", "600", "999"})
		{
			CPPUNIT_ASSERT_EQUAL_MESSAGE(
			    status, int(CallState::Sent),
			    int(outcomeOf("HTTP/1.1 " + std::string(status) + " X\r\nContent-Length: 0\r\n\r\n").state));
		}
		CPPUNIT_ASSERT_EQUAL(int(CallState::Replied),
		                     int(outcomeOf("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").state));
	}

	void aNameWithABlankOrControlByteIsNoReply()
	{
		for (const char* const line : {"A B: c", "A\x01: c", "A : c"})
		{
			CPPUNIT_ASSERT_EQUAL_MESSAGE(
			    line, int(CallState::Sent),
			    int(outcomeOf("HTTP/1.1 200 OK\r\n" + std::string(line) + "\r\nContent-Length: 0\r\n\r\n").state));
		}
	}

	/// Guards against a reply whose sender stopped in the middle of its head or body, taken for a whole one.
	void aReplyThatIsCutIsNoReply()
	{
		const std::string head = "HTTP/1.1 200 OK\r\nContent-Type: a\r\n";
		for (const std::string& text : {head + "Content-Length: 2\r\n\r\nok", head + "\r\n",
		                                head + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"})
		{
			for (std::size_t size = 0; size < text.size(); ++size)
			{
				const std::string cut = text.substr(0, size);
				CPPUNIT_ASSERT_MESSAGE(cut, CallState::Replied != outcomeOf(cut).state);
			}
			CPPUNIT_ASSERT_EQUAL(int(CallState::Replied), int(outcomeOf(text).state));
		}
	}

	/// Guards against a node that collects what a faulty target sends until its memory is exhausted.
	void bytesWithoutEndTakeBoundedMemory()
	{
		constexpr std::size_t kMostRead = 16UL * 1024 * 1024; // the largest reply, and what the sockets hold
		const std::string ok = "HTTP/1.1 200 OK\r\n";
		const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
		const std::string events = ok + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
		const std::string piece(16UL * 1024, '0');
		const std::string chunk = "4000\r\n" + piece + "\r\n";
		CPPUNIT_ASSERT(readOf("", piece, false) < kMostRead);
		CPPUNIT_ASSERT(readOf(ok + "X: ", piece, false) < kMostRead);
		CPPUNIT_ASSERT(readOf(ok, "X: a\r\n", false) < kMostRead);
		CPPUNIT_ASSERT(readOf(ok + "\r\n", piece, false) < kMostRead);
		CPPUNIT_ASSERT(readOf(chunked, chunk, false) < kMostRead);
		CPPUNIT_ASSERT(readOf(chunked, piece, false) < kMostRead);
		CPPUNIT_ASSERT(readOf(chunked + "0\r\nX: ", piece, false) < kMostRead);
		CPPUNIT_ASSERT(readOf(chunked + "1;", piece, false) < kMostRead);
		CPPUNIT_ASSERT(readOf(events, chunk, true) < kMostRead);
		CPPUNIT_ASSERT(readOf(events, piece, true) < kMostRead);
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpClientTest);

} // namespace sedgecart

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
	const HttpOutcome outcome = client.call(call, Duration::fromMillis(5000));
	server.join();
	return outcome;
}

} // namespace

class HttpClientTest : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(HttpClientTest);
	CPPUNIT_TEST(aStatusThatHttpDoesNotDefineIsNoReply);
	CPPUNIT_TEST(aNameWithABlankOrControlByteIsNoReply);
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpClientTest);

} // namespace sedgecart

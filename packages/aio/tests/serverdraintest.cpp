// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

// A server that is drained reads no more requests, and answers each one that it has read.

#include "plainhandler.h"

#include <aio/server.h>
#include <aio/serverconnection.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cppunit/extensions/HelperMacros.h>
#include <harness/plaincaller.h>

#include <chrono>
#include <memory>
#include <string>

namespace sedgecart
{

namespace
{

using Tcp = boost::asio::ip::tcp;

/// Time in which a loop has handled all that has arrived over loopback.
constexpr std::chrono::milliseconds kSettle{50};

/// Server of a node that stops. Its loop runs only where a test says so.
class DrainedServer : public PlainHandler
{
public:
	DrainedServer() : server_(loop_, "127.0.0.1:0", *this)
	{
	}

	Tcp::endpoint endpoint() const
	{
		return Tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), server_.port());
	}

	/// Runs the loop until it has handled what has arrived.
	void settle()
	{
		loop_.restart();
		loop_.run_for(kSettle);
	}

	uint32_t drain()
	{
		return server_.drain();
	}

	bool isBusy() const
	{
		return server_.isBusy();
	}

	/// Answers the request that was held back.
	void answerHeld()
	{
		answer(*held_);
		held_.reset();
	}

	void onRequest(const std::shared_ptr<ServerConnection>& _connection, ServerRequest&& _request) override
	{
		if ("/held" == _request.head.target)
		{
			held_ = _connection;
			return;
		}
		answer(*_connection);
	}
	void onCallerDisconnected(const ServerConnection&) override
	{
	}
	bool closing() const override
	{
		return closing_;
	}

	/// Begins the response to the request that was held back, before the server is told to close.
	void beginHeld()
	{
		closing_ = false;
		ResponseStart start;
		start.length = 4;
		held_->start(start, "do");
		closing_ = true;
	}

	void endHeld()
	{
		held_->send("ne");
		held_->finish();
		held_.reset();
	}

private:
	static void answer(ServerConnection& _connection)
	{
		ResponseStart start;
		start.length = 4;
		_connection.start(start, "done");
		_connection.finish();
	}

	boost::asio::io_context loop_;
	std::shared_ptr<ServerConnection> held_;
	bool closing_ = true;
	Server server_;
};

std::string requestOf(const std::string& _target)
{
	return "GET " + _target + " HTTP/1.1\r\nHost: h.example\r\n\r\n";
}

} // namespace

class ServerDrainTest : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(ServerDrainTest);
	CPPUNIT_TEST(connectionsAtRestAreClosed);
	CPPUNIT_TEST(newConnectionsAreRefused);
	CPPUNIT_TEST(requestOfAConnectionThatWaitsToBeAcceptedIsAnswered);
	CPPUNIT_TEST(requestThatArrivedBeforeTheDrainIsAnswered);
	CPPUNIT_TEST(requestThatIsBeingReceivedIsAnswered);
	CPPUNIT_TEST(requestThatIsBeingHandledIsAnswered);
	CPPUNIT_TEST(requestAfterAResponseThatBeganBeforeTheStopIsAnswered);
	CPPUNIT_TEST_SUITE_END();

public:
	void connectionsAtRestAreClosed()
	{
		DrainedServer server;
		PlainCaller caller(server.endpoint());
		server.settle();
		CPPUNIT_ASSERT(!server.isBusy());
		CPPUNIT_ASSERT_EQUAL(0U, server.drain());
		CPPUNIT_ASSERT_EQUAL(std::string(), caller.receive());
	}

	void newConnectionsAreRefused()
	{
		DrainedServer server;
		CPPUNIT_ASSERT_EQUAL(0U, server.drain());
		CPPUNIT_ASSERT_THROW(PlainCaller(server.endpoint()), boost::system::system_error);
	}

	/// Guards against closing a connection whose request has arrived unread: its caller could not tell whether it ran.
	void requestThatArrivedBeforeTheDrainIsAnswered()
	{
		DrainedServer server;
		PlainCaller caller(server.endpoint());
		server.settle();
		caller.send(requestOf("/done"));
		CPPUNIT_ASSERT_EQUAL(1U, server.drain());
		isAnswered(server, caller);
	}

	void requestOfAConnectionThatWaitsToBeAcceptedIsAnswered()
	{
		DrainedServer server;
		PlainCaller caller(server.endpoint());
		CPPUNIT_ASSERT_EQUAL(1U, server.drain());
		caller.send(requestOf("/done"));
		isAnswered(server, caller);
	}

	void requestThatIsBeingReceivedIsAnswered()
	{
		DrainedServer server;
		PlainCaller caller(server.endpoint());
		const std::string request = requestOf("/done");
		caller.send(request.substr(0, request.size() / 2));
		server.settle();
		CPPUNIT_ASSERT(server.isBusy());
		CPPUNIT_ASSERT_EQUAL(1U, server.drain());
		caller.send(request.substr(request.size() / 2));
		isAnswered(server, caller);
	}

	void requestThatIsBeingHandledIsAnswered()
	{
		DrainedServer server;
		PlainCaller caller(server.endpoint());
		caller.send(requestOf("/held"));
		server.settle();
		CPPUNIT_ASSERT(server.isBusy());
		CPPUNIT_ASSERT_EQUAL(1U, server.drain());
		server.answerHeld();
		isAnswered(server, caller);
	}

	/// Guards against closing a connection that its caller believes to be kept, while the next request is on the way.
	void requestAfterAResponseThatBeganBeforeTheStopIsAnswered()
	{
		DrainedServer server;
		PlainCaller caller(server.endpoint());
		caller.send(requestOf("/held"));
		server.settle();
		server.beginHeld();
		server.endHeld();
		CPPUNIT_ASSERT_EQUAL(1U, server.drain());
		CPPUNIT_ASSERT_EQUAL(std::size_t(0), caller.receive("done").find("HTTP/1.1 200"));
		caller.send(requestOf("/done"));
		isAnswered(server, caller);
	}

private:
	/// The caller gets its answer, and no connection is left after it.
	static void isAnswered(DrainedServer& _server, PlainCaller& _caller)
	{
		_server.settle();
		CPPUNIT_ASSERT_EQUAL(std::size_t(0), _caller.receive("done").find("HTTP/1.1 200"));
		CPPUNIT_ASSERT_EQUAL(0U, _server.drain());
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerDrainTest);

} // namespace sedgecart

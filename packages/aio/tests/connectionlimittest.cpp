// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

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
#include <vector>

namespace sedgecart
{

namespace
{

using Tcp = boost::asio::ip::tcp;

constexpr std::size_t kMaxConnections = 4;
constexpr const char* kRequest = "GET /done HTTP/1.1\r\nHost: h\r\n\r\n";

/// Time in which a loop has handled all that has arrived over loopback.
constexpr std::chrono::milliseconds kSettle{50};

class LimitedServer : public PlainHandler
{
public:
	LimitedServer() : server_(loop_, "127.0.0.1:0", *this)
	{
	}

	Tcp::endpoint endpoint() const
	{
		return Tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), server_.port());
	}

	void settle()
	{
		loop_.restart();
		loop_.run_for(kSettle);
	}

	void onRequest(const std::shared_ptr<ServerConnection>& _connection, ServerRequest&& _request) override
	{
		if ("/held" == _request.head.target)
		{
			held.push_back(_connection);
			return;
		}
		ResponseStart start;
		start.length = 4;
		_connection->start(start, "done");
		_connection->finish();
	}
	void onCallerDisconnected(const ServerConnection&) override
	{
	}
	void onClosedUnread(uint32_t _count) override
	{
		closedUnread += _count;
	}
	void onEvicted(uint32_t _count) override
	{
		evicted += _count;
	}
	std::size_t maxConnections() const override
	{
		return kMaxConnections;
	}

	std::vector<std::shared_ptr<ServerConnection>> held;
	uint32_t closedUnread = 0;
	uint32_t evicted = 0;

private:
	boost::asio::io_context loop_;
	Server server_;
};

} // namespace

/// More connections than a server may have.
class ConnectionLimitTest : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(ConnectionLimitTest);
	CPPUNIT_TEST(silentConnectionsMakeRoom);
	CPPUNIT_TEST(whoWasAnsweredStaysLongest);
	CPPUNIT_TEST(requestsThatAreHandledStay);
	CPPUNIT_TEST_SUITE_END();

public:
	/// Guards against callers that find no place because others connect and send nothing.
	void silentConnectionsMakeRoom()
	{
		connect(10, "POST /");
		PlainCaller caller(server_.endpoint());
		CPPUNIT_ASSERT(isAnswered(caller));
		CPPUNIT_ASSERT_EQUAL(7U, server_.evicted);
		CPPUNIT_ASSERT_EQUAL(0U, server_.closedUnread);
	}

	void whoWasAnsweredStaysLongest()
	{
		PlainCaller caller(server_.endpoint());
		CPPUNIT_ASSERT(isAnswered(caller));
		connect(10, "");
		CPPUNIT_ASSERT(isAnswered(caller));
	}

	void requestsThatAreHandledStay()
	{
		connect(kMaxConnections, "GET /held HTTP/1.1\r\nHost: h\r\n\r\n");
		connect(2, "");
		CPPUNIT_ASSERT_EQUAL(kMaxConnections, server_.held.size());
		CPPUNIT_ASSERT_EQUAL(0U, server_.evicted);
		CPPUNIT_ASSERT_EQUAL(2U, server_.closedUnread);
	}

private:
	/// Connects one after the other.
	void connect(std::size_t _count, const std::string& _text)
	{
		for (std::size_t number = 0; number < _count; ++number)
		{
			crowd_.push_back(std::make_unique<PlainCaller>(server_.endpoint()));
			crowd_.back()->send(_text);
			server_.settle();
		}
	}

	bool isAnswered(PlainCaller& _caller)
	{
		_caller.send(kRequest);
		server_.settle();
		return std::string::npos != _caller.receive("done").find("200");
	}

	LimitedServer server_;
	std::vector<std::unique_ptr<PlainCaller>> crowd_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConnectionLimitTest);

} // namespace sedgecart

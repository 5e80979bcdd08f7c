// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "plainhandler.h"

#include <aio/bodymemory.h>
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

constexpr uint64_t kMemory = 100000;

/// Longer than an upload may stall when there is no memory.
constexpr std::chrono::milliseconds kStall{1100};

class ShortServer : public PlainHandler
{
public:
	ShortServer() : memory(loop_, kMemory), server_(loop_, "127.0.0.1:0", *this)
	{
	}

	Tcp::endpoint endpoint() const
	{
		return Tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), server_.port());
	}

	void run(std::chrono::milliseconds _time)
	{
		loop_.restart();
		loop_.run_for(_time);
	}

	void onRequest(const std::shared_ptr<ServerConnection>& _connection, ServerRequest&&) override
	{
		held = _connection;
	}
	void onCallerDisconnected(const ServerConnection&) override
	{
	}
	BodyMemory* bodyMemory() override
	{
		return &memory;
	}
	void onNoBodyMemory(const std::shared_ptr<ServerConnection>& _connection, const MessageHead&) override
	{
		++refused;
		_connection->abort();
	}

private:
	boost::asio::io_context loop_;

public:
	BodyMemory memory;
	std::shared_ptr<ServerConnection> held;
	int refused = 0;

private:
	Server server_;
};

} // namespace

class MemoryShortageTest : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(MemoryShortageTest);
	CPPUNIT_TEST(aBodyThatIsParsedHasNotStalled);
	CPPUNIT_TEST_SUITE_END();

public:
	/// Guards against a connection that is refused as stalled while it parses what arrived long before, behind another
	/// request.
	void aBodyThatIsParsedHasNotStalled()
	{
		ShortServer server;
		PlainCaller caller(server.endpoint());
		caller.send("GET / HTTP/1.1\r\nHost: h\r\n\r\nPOST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
		            "1500\r\n" +
		            std::string(0x1500, 'x') + "\r\n4000\r\n" + std::string(0x4000, 'x'));
		server.run(kStall);
		std::shared_ptr<BodyLease> all;
		server.memory.countTo(kMemory, all);
		ResponseStart start;
		server.held->start(start, "");
		server.held->finish();
		server.run(std::chrono::milliseconds(100));
		CPPUNIT_ASSERT_EQUAL(1, server.refused);
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(MemoryShortageTest);

} // namespace sedgecart

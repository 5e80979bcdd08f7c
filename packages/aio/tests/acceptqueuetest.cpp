// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

// A server that gets more connections than it can serve left the surplus in its accept queue, until callers gave up.

#include "../src/acceptqueue_p.h"
#include "plainhandler.h"

#include <aio/server.h>
#include <aio/serverconnection.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/system/system_error.hpp>
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
using Clock = std::chrono::steady_clock;

constexpr Time kStart{1000000};
constexpr Millis kRequestTime{20}; // so that the server can serve 50 requests per second
constexpr Millis kCallInterval{8};
constexpr int kCalls = 400;

/// Callers give up after a second; a third is left for another server.
constexpr Millis kMaxWait{700};

/// Of the calls that the server can serve while calls arrive.
constexpr double kServedPart = 0.8;

/// Uses the loop for a fixed time for each request.
class BusyHandler : public PlainHandler
{
public:
	void onRequest(const std::shared_ptr<ServerConnection>& _connection, ServerRequest&&) override
	{
		std::this_thread::sleep_for(kRequestTime);
		ResponseStart start;
		start.closeAfter = true;
		_connection->start(start, std::string_view());
		_connection->finish();
	}

	void onCallerDisconnected(const ServerConnection&) override
	{
	}
};

/// How a call ended.
struct CallEnd
{
	bool served = false;
	Millis after{0};
};

CallEnd call(const Tcp::endpoint& _server)
{
	const auto begin = Clock::now();
	CallEnd result;
	try
	{
		PlainCaller caller(_server);
		caller.send(get("/"));
		result.served = 0 == caller.receive().rfind("HTTP/1.1 200", 0);
	}
	catch (const boost::system::system_error&)
	{
		result.served = false; // the server closed first
	}
	result.after = std::chrono::duration_cast<Millis>(Clock::now() - begin);
	return result;
}

Time after(int64_t _millis)
{
	return kStart + Duration::fromMillis(_millis);
}

} // namespace

class AcceptQueueTest : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(AcceptQueueTest);
	CPPUNIT_TEST(connectionsThatCannotBeServedAreClosedUnread);
	CPPUNIT_TEST(aStandingQueueIsOverload);
	CPPUNIT_TEST(aBurstIsNoOverload);
	CPPUNIT_TEST(aSuspendedServerIsNotOverloaded);
	CPPUNIT_TEST_SUITE_END();

public:
	void connectionsThatCannotBeServedAreClosedUnread()
	{
		boost::asio::io_context loop{1};
		auto guard = boost::asio::make_work_guard(loop);
		BusyHandler handler;
		Server server(loop, "127.0.0.1:0", handler);
		std::thread thread(
		    [&loop]
		    {
			    loop.run();
		    });
		const std::vector<CallEnd> ends = callMany(Tcp::endpoint(Tcp::v4(), server.port()));
		loop.stop();
		thread.join();
		const auto served = static_cast<int>(std::count_if(ends.begin(), ends.end(),
		                                                   [](const CallEnd& _end)
		                                                   {
			                                                   return _end.served;
		                                                   }));
		const CallEnd slowest = *std::max_element(ends.begin(), ends.end(),
		                                          [](const CallEnd& _a, const CallEnd& _b)
		                                          {
			                                          return _a.after < _b.after;
		                                          });
		const std::string text = std::to_string(served) + " served, slowest " + std::to_string(slowest.after.count());
		CPPUNIT_ASSERT_MESSAGE(text, slowest.after <= kMaxWait);
		CPPUNIT_ASSERT_MESSAGE(text, kServedPart * kCalls * kCallInterval.count() / kRequestTime.count() <= served);
	}

	void aStandingQueueIsOverload()
	{
		AcceptQueue queue;
		int64_t millis = 0;
		for (; millis < 240; millis += 10)
		{
			queue.onAccepted(true, after(millis));
			CPPUNIT_ASSERT(!queue.isOverloaded());
		}
		queue.onAccepted(true, after(260));
		CPPUNIT_ASSERT(queue.isOverloaded());
		queue.onAccepted(false, after(270));
		CPPUNIT_ASSERT(!queue.isOverloaded());
		queue.onAccepted(true, after(280));
		CPPUNIT_ASSERT(!queue.isOverloaded());
	}

	/// All callers of a node that has ended connect at once.
	void aBurstIsNoOverload()
	{
		AcceptQueue queue;
		for (int64_t millis = 0; millis < 200; ++millis)
		{
			queue.onAccepted(true, after(millis));
		}
		queue.onAccepted(false, after(200));
		CPPUNIT_ASSERT(!queue.isOverloaded());
	}

	void aSuspendedServerIsNotOverloaded()
	{
		AcceptQueue queue;
		queue.onAccepted(true, after(0));
		queue.onAccepted(true, after(3000));
		CPPUNIT_ASSERT(!queue.isOverloaded());
	}

private:
	static std::vector<CallEnd> callMany(const Tcp::endpoint& _server)
	{
		const Tcp::endpoint server(boost::asio::ip::address_v4::loopback(), _server.port());
		std::vector<std::future<CallEnd>> calls;
		for (int number = 0; number < kCalls; ++number)
		{
			calls.push_back(std::async(std::launch::async, call, server));
			std::this_thread::sleep_for(kCallInterval);
		}
		std::vector<CallEnd> ends;
		ends.reserve(calls.size());
		for (std::future<CallEnd>& one : calls)
		{
			ends.push_back(one.get());
		}
		return ends;
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(AcceptQueueTest);

} // namespace sedgecart

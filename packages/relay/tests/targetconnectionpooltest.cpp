// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <base/steadyclock.h>
#include <relay/targetconnectionpool.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace sedgecart
{

namespace
{

using Tcp = boost::asio::ip::tcp;

/// Sends a request and ends once it is answered.
class OneExchange : public ExchangeHandlerI
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
		isComplete = true;
	}
	void onFailed(ExchangeFailure::Enum) override
	{
	}

	bool isComplete = false;
};

} // namespace

/// A target repeats a refusal late, where the next answer is due. Sent over the same connection again, a request that
/// may run once was taken for refused while it ran.
class TargetConnectionPoolTest : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(TargetConnectionPoolTest);
	CPPUNIT_TEST(aRefusedRequestGetsAnotherConnection);
	CPPUNIT_TEST(aNewConnectionReplacesAnIdleOne);
	CPPUNIT_TEST(requestsThatMayRunAgainGetAnyConnection);
	CPPUNIT_TEST(answersAreForgottenWithTheirRequests);
	CPPUNIT_TEST_SUITE_END();

public:
	void setUp() override
	{
		target_.instance.text = "t1";
		target_.address = "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
	}

	void aRefusedRequestGetsAnotherConnection()
	{
		putIdle("");
		putIdle("id1");
		CPPUNIT_ASSERT(isIdle(pool_.acquire(target_, "id1"), false));
		CPPUNIT_ASSERT(isIdle(pool_.acquire(target_, "id2"), true));
	}

	/// Targets limit the number of connections.
	void aNewConnectionReplacesAnIdleOne()
	{
		putIdle("id1");
		putIdle("id1");
		CPPUNIT_ASSERT(!pool_.acquire(target_, "id1")->client().reusable());
		CPPUNIT_ASSERT(pool_.acquire(target_, "")->client().reusable());
		CPPUNIT_ASSERT(!pool_.acquire(target_, "")->client().reusable());
	}

	void requestsThatMayRunAgainGetAnyConnection()
	{
		putIdle("id1");
		CPPUNIT_ASSERT(isIdle(pool_.acquire(target_, ""), true));
	}

	void answersAreForgottenWithTheirRequests()
	{
		TargetConnection connection(std::make_unique<ClientConnection>(loop_, target_.address));
		connection.recordAnswer("id1", Time{100}, Time{50});
		connection.recordAnswer("id2", Time{300}, Time{200});
		CPPUNIT_ASSERT(!connection.hasAnswered("id1"));
		CPPUNIT_ASSERT(connection.hasAnswered("id2"));
	}

private:
	/// Puts a connection into the pool that has answered a request.
	void putIdle(const std::string& _answered)
	{
		auto connection =
		    std::make_unique<TargetConnection>(std::make_unique<ClientConnection>(loop_, target_.address));
		OneExchange exchange;
		connection->client().exchange(std::string("GET / HTTP/1.1\r\n\r\n"), exchange, Duration::fromMillis(5000));
		peers_.push_back(acceptor_.accept());
		boost::asio::write(peers_.back(),
		                   boost::asio::buffer(std::string("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")));
		while (!exchange.isComplete)
		{
			loop_.run_one();
		}
		connection->recordAnswer(_answered, clock_.now() + Duration::fromMillis(60000), clock_.now());
		pool_.release(target_, std::move(connection), 8);
	}

	/// @returns true if a connection was in the pool, and has answered the request `id1` or not, as asked.
	static bool isIdle(const std::unique_ptr<TargetConnection>& _connection, bool _hasAnswered)
	{
		return _connection->client().reusable() && _hasAnswered == _connection->hasAnswered("id1");
	}

	boost::asio::io_context loop_;
	SteadyClock clock_;
	Tcp::acceptor acceptor_{loop_, Tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)};
	std::vector<Tcp::socket> peers_;
	RunnerRecord target_;
	TargetConnectionPool pool_{loop_, clock_};
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetConnectionPoolTest);

} // namespace sedgecart

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "entryharness.h"

#include <base/config.h>

#include <cppunit/extensions/HelperMacros.h>
#include <harness/plaincaller.h>

#include <chrono>
#include <string>
#include <thread>

namespace sedgecart
{

namespace
{

using Millis = std::chrono::milliseconds;

/// Receive buffer of the caller, and a body that is more than the sockets between it and the target hold, bytes.
constexpr int kReceiveBuffer = 8 * 1024;
constexpr std::size_t kLargeBody = 3UL * 1024 * 1024;

constexpr uint64_t kEvents = 20000; //!< Of a stream: some 500 KB.

constexpr std::size_t kSlowPart = 1024; //!< Bytes that the caller receives at a time.
constexpr Millis kSlowPause{100};
constexpr Millis kSlowTime{SEDGECART_CONFIG_UNACKNOWLEDGED_MS + 2000};

/// Receives slowly for a while, then as fast as it can.
std::string receiveSlowly(const EntryHarness& _harness, const TestRequest& _request)
{
	const std::string& address = _harness.callerAddress();
	const auto port = static_cast<uint16_t>(std::stoul(address.substr(address.rfind(':') + 1)));
	PlainCaller caller(PlainCaller::Tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), port), kReceiveBuffer);
	caller.send(textOf(_request));
	std::string answer;
	const auto slowUntil = std::chrono::steady_clock::now() + kSlowTime;
	while (!caller.end() && std::chrono::steady_clock::now() < slowUntil)
	{
		answer += caller.receiveSome(kSlowPart);
		std::this_thread::sleep_for(kSlowPause);
	}
	return answer + caller.receive();
}

/// @returns true if the text ends so.
bool endsWith(const std::string& _text, const std::string& _end)
{
	return _end.size() <= _text.size() && 0 == _text.compare(_text.size() - _end.size(), _end.size(), _end);
}

} // namespace

/// A caller receives a large answer through a node, slowly.
class SlowCallerProof : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(SlowCallerProof);
	CPPUNIT_TEST(aSlowCallerGetsAllOfAPlainAnswer);
	CPPUNIT_TEST(aSlowCallerGetsAllOfAStream);
	CPPUNIT_TEST_SUITE_END();

public:
	/// The caller was cut off while it received.
	void aSlowCallerGetsAllOfAPlainAnswer()
	{
		EntryHarness harness;
		harness.addPlain(
		    [](const std::shared_ptr<ServerConnection>& _caller, const ServerRequest& _request)
		    {
			    answerWhole(*_caller, _request, 200, std::string(kLargeBody, 'x'));
		    });
		harness.start();
		TestRequest request;
		request.lines.emplace_back("Connection: close");
		const std::string answer = receiveSlowly(harness, request);
		CPPUNIT_ASSERT_EQUAL(kLargeBody, answer.size() - answer.find("\r\n\r\n") - 4);
	}

	void aSlowCallerGetsAllOfAStream()
	{
		EntryHarness harness;
		harness.addEngine(LayerSpan{0, 8},
		                  [](const std::shared_ptr<ServerConnection>& _caller, const ServerRequest& _request)
		                  {
			                  if ("/stream/" != _request.head.target)
			                  {
				                  answerWhole(*_caller, _request, 200, "{}");
				                  return;
			                  }
			                  startStream(*_caller, _request, 0, kEvents);
			                  _caller->finish();
		                  });
		harness.start();
		TestRequest request;
		request.path = "/stream/";
		request.lines.emplace_back("Connection: close");
		const std::string answer = receiveSlowly(harness, request);
		CPPUNIT_ASSERT_MESSAGE(std::to_string(answer.size()), endsWith(answer, "\r\n0\r\n\r\n"));
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(SlowCallerProof);

} // namespace sedgecart

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <peer/peerlink.h>
#include <wire/sedgecart.pb.h>

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <chrono>
#include <thread>

namespace sedgecart
{

namespace
{

constexpr const char* kServer = "127.0.0.1:31017";
constexpr const char* kClient = "127.0.0.1:31018";

/// Counts heartbeats and answers each with records.
class Counting : public PeerHandlerI
{
public:
	void onPeerMessage(const wire::PeerMessage& _message, wire::PeerMessage& _reply) override
	{
		beats += _message.has_heartbeat() ? 1 : 0;
		replies += _message.has_records() ? 1 : 0;
		if (_message.has_heartbeat())
		{
			_reply.mutable_records()->set_identity("log");
		}
	}

	std::atomic<int> beats{0};
	std::atomic<int> replies{0};
};

/// Sends beats until one arrives, or for two seconds.
void beatUntilHeard(PeerLink& _link, const Counting& _heard)
{
	wire::PeerMessage beat;
	beat.mutable_heartbeat()->set_name("client");
	for (int turn = 0; turn < 200 && 0 == _heard.beats; ++turn)
	{
		_link.broadcast(beat);
		std::this_thread::sleep_for(std::chrono::milliseconds(10));
	}
}

} // namespace

class PeerLinkTest : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(PeerLinkTest);
	CPPUNIT_TEST(sameKeyIsLetIn);
	CPPUNIT_TEST(noKeyGetsNothing);
	CPPUNIT_TEST(otherKeyGetsNothing);
	CPPUNIT_TEST(malformedKeyIsTold);
	CPPUNIT_TEST(whatIsNoAddressIsPassedOver);
	CPPUNIT_TEST_SUITE_END();

public:
	void sameKeyIsLetIn()
	{
		const std::string key = makePeerKeys().secretKey;
		CPPUNIT_ASSERT(heard(key, key));
	}

	void noKeyGetsNothing()
	{
		CPPUNIT_ASSERT(!heard(makePeerKeys().secretKey, std::string()));
	}

	void otherKeyGetsNothing()
	{
		CPPUNIT_ASSERT(!heard(makePeerKeys().secretKey, makePeerKeys().secretKey));
	}

	void malformedKeyIsTold()
	{
		CPPUNIT_ASSERT(isPeerKey(makePeerKeys().secretKey));
		CPPUNIT_ASSERT(!isPeerKey("short"));
		CPPUNIT_ASSERT(!isPeerKey(std::string(40, '"')));
	}

	/// Addresses of nodes come from records in the store. Text that is no address ended the link's thread by an error
	/// that nobody caught, and the process with it.
	void whatIsNoAddressIsPassedOver()
	{
		Counting server;
		Counting client;
		const PeerLink listening(PeerSettings{kServer, std::string()}, server);
		PeerLink calling(PeerSettings{kClient, std::string()}, client);
		calling.setPeers({"not an address", "", "127.0.0.1:0", "127.0.0.1:99999", kServer});
		beatUntilHeard(calling, server);
		CPPUNIT_ASSERT(0 < server.beats);
	}

private:
	/// @returns true if a client with one key is heard and answered by a server with another.
	static bool heard(const std::string& _serverKey, const std::string& _clientKey)
	{
		Counting server;
		Counting client;
		const PeerLink listening(PeerSettings{kServer, _serverKey}, server);
		PeerLink calling(PeerSettings{kClient, _clientKey}, client);
		calling.setPeers({kServer});
		beatUntilHeard(calling, server);
		for (int turn = 0; turn < 100 && 0 == client.replies && 0 < server.beats; ++turn)
		{
			std::this_thread::sleep_for(std::chrono::milliseconds(10));
		}
		return 0 < server.beats && 0 < client.replies;
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerLinkTest);

} // namespace sedgecart

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "entryharness.h"
#include "nodeprocess.h"
#include "stopsite.h"

#include <harness/casefolder.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <filesystem>
#include <fstream>
#include <string>
#include <thread>

#include <fcntl.h>

namespace sedgecart
{

namespace
{

using Tcp = boost::asio::ip::tcp;

/// Long enough for a start that fails to end its process.
constexpr std::chrono::milliseconds kFailedStart{1000};

/// Another process that listens on an address.
class Occupant
{
public:
	explicit Occupant(const std::string& _address) : acceptor_(loop_)
	{
		const std::size_t colon = _address.rfind(':');
		const Tcp::endpoint endpoint(boost::asio::ip::make_address(_address.substr(0, colon)),
		                             static_cast<uint16_t>(std::stoi(_address.substr(colon + 1))));
		acceptor_.open(endpoint.protocol());
		::fcntl(acceptor_.native_handle(), F_SETFD, FD_CLOEXEC); // the node must not inherit it
		acceptor_.bind(endpoint);
		acceptor_.listen();
	}

private:
	boost::asio::io_context loop_;
	Tcp::acceptor acceptor_;
};

} // namespace

/// Starts of a real process while something that it needs is not there yet.
class StartProof : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(StartProof);
	CPPUNIT_TEST(aNodeWaitsForAnAddressInUse);
	CPPUNIT_TEST(aNodeWaitsForItsSettings);
	CPPUNIT_TEST(aWaitingNodeCanBeStopped);
	CPPUNIT_TEST_SUITE_END();

public:
	/// Guards against nodes that end because an address is still held by the process before them.
	void aNodeWaitsForAnAddressInUse()
	{
		const CaseFolder folder("start-address");
		StopSite site(1, folder.path());
		for (const std::string& address : site.node(0).addresses())
		{
			{
				const Occupant occupant(address);
				site.start();
				std::this_thread::sleep_for(kFailedStart);
				CPPUNIT_ASSERT_MESSAGE(address, !site.node(0).hasEnded());
			}
			CPPUNIT_ASSERT_MESSAGE(address, site.awaitReady());
			site.node(0).kill();
		}
	}

	/// Guards against nodes that end because their settings are being written.
	void aNodeWaitsForItsSettings()
	{
		const CaseFolder folder("start-settings");
		StopSite site(1, folder.path());
		const std::string path = site.node(0).settingsPath();
		std::filesystem::rename(path, path + ".whole");
		std::ofstream(path) << "name=n1\nhall=h1\ncaller-addr";
		site.start();
		std::this_thread::sleep_for(kFailedStart);
		CPPUNIT_ASSERT(!site.node(0).hasEnded());
		std::filesystem::rename(path + ".whole", path);
		CPPUNIT_ASSERT(site.awaitReady());
	}

	void aWaitingNodeCanBeStopped()
	{
		const CaseFolder folder("start-stop");
		StopSite site(1, folder.path());
		const Occupant occupant(site.node(0).callerAddress());
		site.start();
		std::this_thread::sleep_for(kFailedStart);
		CPPUNIT_ASSERT_EQUAL(0, site.node(0).stop());
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(StartProof);

} // namespace sedgecart

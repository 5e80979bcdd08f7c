// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "../src/deliverywatch_p.h"

#include <base/config.h>

#include <cppunit/extensions/HelperMacros.h>

namespace sedgecart
{

namespace
{

constexpr Duration kLook = Duration::fromMillis(250);
constexpr uint64_t kBody = 40UL * 1024 * 1024;

} // namespace

/// Peers that acknowledge in steps, as their systems do.
class DeliveryWatchTest : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(DeliveryWatchTest);
	CPPUNIT_TEST(aPeerThatReceivesNothingIsStalled);
	CPPUNIT_TEST(aSlowPeerWithALargeBufferIsNotStalled);
	CPPUNIT_TEST(aPeerThatReceivedMuchAndStopsIsStalled);
	CPPUNIT_TEST(aPeerThatVanishesBehindManySmallMessagesIsStalledSoon);
	CPPUNIT_TEST(bytesThatAreAddedAreNoProgress);
	CPPUNIT_TEST(aSuspendedProcessStallsNobody);
	CPPUNIT_TEST(whatIsAllAcknowledgedIsDone);
	CPPUNIT_TEST_SUITE_END();

public:
	/// It acknowledges what its buffer holds, and no more.
	void aPeerThatReceivesNothingIsStalled()
	{
		DeliveryWatch watch;
		const int64_t stalledAt = stalledAfter(watch, 65536);
		CPPUNIT_ASSERT(SEDGECART_CONFIG_UNACKNOWLEDGED_MS <= stalledAt);
		CPPUNIT_ASSERT(stalledAt <= SEDGECART_CONFIG_UNACKNOWLEDGED_MS + 2 * kLook.millis());
	}

	/// It has received fast, so that its buffer is large, and goes on at 82 KB/s: nothing is acknowledged for 15 s at a
	/// time.
	void aSlowPeerWithALargeBufferIsNotStalled()
	{
		constexpr uint64_t kBuffered = 18UL * 1024 * 1024;
		constexpr uint64_t kStep = 1300000;
		constexpr int kLooksAStep = 60;
		DeliveryWatch watch;
		for (uint64_t acknowledged = kBuffered; acknowledged < kBody; acknowledged += kStep)
		{
			for (int look = 0; look < kLooksAStep; ++look)
			{
				CPPUNIT_ASSERT(Delivery::Moving == watch.look(SentBytes{kBody, kBody - acknowledged}, kLook));
			}
		}
	}

	void aPeerThatReceivedMuchAndStopsIsStalled()
	{
		DeliveryWatch watch;
		CPPUNIT_ASSERT(stalledAfter(watch, kBody / 2) <= SEDGECART_CONFIG_MOST_STALL_MS + 2 * kLook.millis());
	}

	/// A kept connection to a target falls silent: requests on it would hang for as long as after a large one.
	void aPeerThatVanishesBehindManySmallMessagesIsStalledSoon()
	{
		DeliveryWatch watch;
		watch.look(SentBytes{kBody / 2, 0}, kLook);
		watch.begin(SentBytes{kBody / 2, 0});
		CPPUNIT_ASSERT(stalledAfter(watch, kBody / 2) <= SEDGECART_CONFIG_UNACKNOWLEDGED_MS + 2 * kLook.millis());
	}

	/// An answer goes on while its caller receives nothing.
	void bytesThatAreAddedAreNoProgress()
	{
		DeliveryWatch watch;
		uint64_t written = 1000;
		Delivery::Enum delivery = Delivery::Moving;
		for (int64_t millis = 0; millis <= SEDGECART_CONFIG_UNACKNOWLEDGED_MS; millis += kLook.millis())
		{
			written += 1000;
			delivery = watch.look(SentBytes{written, written}, kLook);
		}
		CPPUNIT_ASSERT(Delivery::Stalled == delivery);
	}

	/// However long it was suspended, it has looked once since.
	void aSuspendedProcessStallsNobody()
	{
		DeliveryWatch watch;
		watch.look(SentBytes{kBody, kBody}, kLook);
		CPPUNIT_ASSERT(Delivery::Moving == watch.look(SentBytes{kBody, kBody}, kLook));
	}

	void whatIsAllAcknowledgedIsDone()
	{
		DeliveryWatch watch;
		CPPUNIT_ASSERT(Delivery::Moving == watch.look(SentBytes{1000, 500}, kLook));
		CPPUNIT_ASSERT(Delivery::Done == watch.look(SentBytes{1000, 0}, kLook));
		CPPUNIT_ASSERT(Delivery::Done == watch.look(SentBytes{1000, 0}, kLook));
	}

private:
	/// @returns when a peer that has acknowledged so much and goes no further is stalled, milliseconds.
	static int64_t stalledAfter(DeliveryWatch& _watch, uint64_t _acknowledged)
	{
		int64_t millis = 0;
		while (Delivery::Stalled != _watch.look(SentBytes{kBody, kBody - _acknowledged}, kLook))
		{
			millis += kLook.millis();
		}
		return millis;
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(DeliveryWatchTest);

} // namespace sedgecart

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <loads/loadchanges.h>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <random>
#include <string>

namespace sedgecart
{

namespace
{

constexpr Duration kInterval = Duration::fromMillis(150);

TargetIncarnation target(std::size_t _number)
{
	return TargetIncarnation{InstanceId{"t" + std::to_string(_number)}, StartTime{}};
}

LoadAmount load(uint32_t _requests, uint32_t _suspicion = 0)
{
	return LoadAmount{_requests * 1000ULL, _requests, _suspicion, 0, AdvertisedRate{}};
}

bool isSame(const LoadTable& _a, const LoadTable& _b)
{
	return _a.size() == _b.size() &&
	       std::equal(_a.begin(), _a.end(), _b.begin(),
	                  [](const LoadTable::value_type& _one, const LoadTable::value_type& _other)
	                  {
		                  return _one.first == _other.first && _one.second.requests == _other.second.requests &&
		                         _one.second.suspicion == _other.second.suspicion &&
		                         _one.second.tokenLayers == _other.second.tokenLayers;
	                  });
}

/// A node that applies the updates of a hub.
struct Receiver
{
	void apply(const LoadUpdate& _update)
	{
		version = _update.version;
		if (0 == _update.base)
		{
			loads = *_update.rows;
			return;
		}
		applyChanges(*_update.rows, loads);
	}

	LoadTable loads;
	uint64_t version = 0;
};

} // namespace

/// A hub sent the loads of all targets to each node seven times a second: 3,000 targets are 500 kB/s at each node.
class LoadChangesTest : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(LoadChangesTest);
	CPPUNIT_TEST(aNewNodeReceivesAllLoads);
	CPPUNIT_TEST(onlyChangesAreSent);
	CPPUNIT_TEST(rowsOfAnUpdateAreBounded);
	CPPUNIT_TEST(suspicionsAreNeverDelayed);
	CPPUNIT_TEST(usedTargetsComeFirst);
	CPPUNIT_TEST(anOutdatedNodeReceivesAllLoads);
	CPPUNIT_TEST(aHubThatPausedStartsAnew);
	CPPUNIT_TEST(receiversConverge);
	CPPUNIT_TEST_SUITE_END();

public:
	void aNewNodeReceivesAllLoads()
	{
		LoadTable totals;
		for (std::size_t number = 0; number < 3000; ++number)
		{
			totals[target(number)] = load(1);
		}
		publish(totals);
		const LoadUpdate update = changes_.since(0);
		CPPUNIT_ASSERT_EQUAL(uint64_t(0), update.base);
		CPPUNIT_ASSERT_EQUAL(std::size_t(3000), update.rows->size());
	}

	void onlyChangesAreSent()
	{
		publish({{target(1), load(1)}, {target(2), load(2)}});
		const uint64_t before = changes_.since(0).version;
		publish({{target(2), load(3)}});
		const LoadUpdate update = changes_.since(before);
		CPPUNIT_ASSERT_EQUAL(before, update.base);
		CPPUNIT_ASSERT_EQUAL(std::size_t(2), update.rows->size());
		CPPUNIT_ASSERT(isEmpty(update.rows->at(target(1)))); // removed
		CPPUNIT_ASSERT_EQUAL(3U, update.rows->at(target(2)).requests);
		publish({{target(2), load(3)}});
		CPPUNIT_ASSERT(changes_.since(update.version).rows->empty());
	}

	void rowsOfAnUpdateAreBounded()
	{
		publish({{target(0), load(1)}});
		const uint64_t before = changes_.since(0).version;
		LoadTable totals;
		for (std::size_t number = 0; number < 3000; ++number)
		{
			totals[target(number)] = load(2);
		}
		publish(totals);
		CPPUNIT_ASSERT_EQUAL(LoadChanges::kMaxRows, changes_.since(before).rows->size());
	}

	void suspicionsAreNeverDelayed()
	{
		publish({{target(0), load(1)}});
		const uint64_t before = changes_.since(0).version;
		LoadTable totals;
		for (std::size_t number = 0; number < 500; ++number)
		{
			totals[target(number)] = load(1, 1);
		}
		publish(totals);
		CPPUNIT_ASSERT_EQUAL(std::size_t(500), changes_.since(before).rows->size());
	}

	void usedTargetsComeFirst()
	{
		publish({});
		const uint64_t before = changes_.since(0).version;
		LoadTable totals;
		for (std::size_t number = 0; number < 1000; ++number)
		{
			totals[target(number)] = load(4);
		}
		const LoadTable hall{{target(999), load(1)}};
		changes_.publish(totals, hall, now_);
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), changes_.since(before).rows->count(target(999)));
	}

	void anOutdatedNodeReceivesAllLoads()
	{
		publish({{target(1), load(1)}});
		const uint64_t before = changes_.since(0).version;
		for (int64_t passed = 0; passed <= LoadChanges::kHistory.micros; passed += kInterval.micros)
		{
			publish({{target(2), load(1)}});
		}
		CPPUNIT_ASSERT_EQUAL(uint64_t(0), changes_.since(before).base);
		CPPUNIT_ASSERT_EQUAL(uint64_t(0), changes_.since(UINT64_MAX).base); // of another hub
	}

	void aHubThatPausedStartsAnew()
	{
		publish({{target(1), load(1)}});
		const uint64_t before = changes_.since(0).version;
		now_ = now_ + LoadChanges::kHistory + kInterval;
		publish({{target(2), load(1)}});
		CPPUNIT_ASSERT_EQUAL(uint64_t(0), changes_.since(before).base);
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), changes_.since(before).rows->size());
	}

	/// Nodes that miss some of the updates know the loads once these have stopped changing.
	void receiversConverge()
	{
		const bool holds = rc::check(
		    []
		    {
			    const auto targets = *rc::gen::inRange<std::size_t>(1, 300);
			    const auto seed = *rc::gen::inRange<uint32_t>(1, 100000);
			    std::minstd_rand random(seed);
			    LoadChanges changes;
			    Receiver receiver;
			    LoadTable totals;
			    Time now{5000000};
			    for (int step = 0; step < 60; ++step)
			    {
				    now = now + kInterval;
				    for (std::size_t change = 0; step < 30 && change < targets; ++change)
				    {
					    const TargetIncarnation changed = target(random() % targets);
					    const uint32_t requests = random() % 4;
					    totals[changed] = load(requests, random() % 2);
					    if (isEmpty(totals[changed]))
					    {
						    totals.erase(changed);
					    }
				    }
				    changes.publish(totals, totals, now);
				    if (0 != random() % 3)
				    {
					    receiver.apply(changes.since(receiver.version));
				    }
			    }
			    receiver.apply(changes.since(receiver.version));
			    RC_ASSERT(isSame(totals, receiver.loads));
		    });
		CPPUNIT_ASSERT(holds);
	}

private:
	void publish(const LoadTable& _totals)
	{
		now_ = now_ + kInterval;
		changes_.publish(_totals, _totals, now_);
	}

	Time now_{5000000};
	LoadChanges changes_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoadChangesTest);

} // namespace sedgecart

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "playedhall.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <numeric>
#include <random>
#include <string>
#include <vector>

namespace sedgecart
{

namespace
{

constexpr int64_t kSecond = 1000;  //!< In milliseconds.
constexpr int64_t kAwayAt = 5000;  //!< The store turns nodes away, milliseconds.
constexpr int64_t kChangeAt = 200; //!< The first change after that, milliseconds.
constexpr int64_t kInForce = 2000; //!< Until a change must be known everywhere, milliseconds.

/// What the store and the operator do.
struct Changes
{
	std::size_t nodes = 1;
	std::size_t served = 1; //!< Nodes that the store does not turn away.
	int64_t apart = 250;    //!< Milliseconds.
	std::size_t bytes = 0;  //!< Of each desired state.
	uint64_t seed = 0;
};

/// @returns text that hardly shrinks.
std::string randomText(std::size_t _bytes, uint64_t _seed)
{
	std::minstd_rand random(static_cast<std::minstd_rand::result_type>(_seed));
	std::uniform_int_distribution<int> byte(0, 255);
	std::string text(_bytes, '\0');
	for (char& one : text)
	{
		one = static_cast<char>(byte(random));
	}
	return text;
}

/// @returns from a change until all nodes knew it, at the worst, milliseconds; those that never did count as never.
int64_t playChanges(const Changes& _changes)
{
	constexpr int kChanges = 40;
	PlayedHall hall(_changes.nodes, _changes.seed);
	hall.runTo(kAwayAt);
	std::vector<std::size_t> places(_changes.nodes);
	std::iota(places.begin(), places.end(), 0);
	std::shuffle(places.begin(), places.end(), std::minstd_rand(static_cast<uint32_t>(_changes.seed)));
	for (std::size_t at = _changes.served; at < places.size(); ++at)
	{
		hall.store().turnAway(PlayedHall::nameOf(places[at]));
	}
	std::vector<Offset> ends;
	for (int change = 0; change < kChanges; ++change)
	{
		hall.runTo(kAwayAt + kChangeAt + change * _changes.apart);
		ends.push_back(hall.store().put(KeyedTopic::Operator, randomText(_changes.bytes, change + 1)));
	}
	const int64_t end = kAwayAt + kChangeAt + kChanges * _changes.apart + 10 * kSecond;
	hall.runTo(end);
	int64_t worst = 0;
	for (int change = 0; change < kChanges; ++change)
	{
		const int64_t at = hall.allHaveAt(ends[change]);
		worst = std::max(worst, (at < 0 ? end : at) - (kAwayAt + kChangeAt + change * _changes.apart));
	}
	return worst;
}

} // namespace

/// Desired states come in quick succession while the store serves some nodes of a hall only.
class ManyChangesTest : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(ManyChangesTest);
	CPPUNIT_TEST(allKnowEachChangeWhereMostAreServed);
	CPPUNIT_TEST(allKnowEachChangeThatOneNodeReads);
	CPPUNIT_TEST_SUITE_END();

public:
	/// Nodes acted by a desired state that had been replaced for 3 s and more: their hub went from one reader to
	/// another with each word, and who was further behind than the hub keeps news was sent to a store that did not
	/// serve it.
	void allKnowEachChangeThatOneNodeReads()
	{
		const bool holds = rc::check(
		    []
		    {
			    Changes changes;
			    changes.nodes = *rc::gen::inRange<std::size_t>(1, 40);
			    changes.served = *rc::gen::inRange<std::size_t>(1, changes.nodes + 1);
			    changes.apart = *rc::gen::inRange<int64_t>(100, 2000);
			    changes.bytes = *rc::gen::inRange<std::size_t>(100, 8000);
			    changes.seed = *rc::gen::inRange<uint64_t>(1, 1000);
			    RC_ASSERT(playChanges(changes) <= kInForce);
		    });
		CPPUNIT_ASSERT(holds);
	}

	/// The same where the store serves three quarters of a hall of any size.
	void allKnowEachChangeWhereMostAreServed()
	{
		const bool holds = rc::check(
		    []
		    {
			    Changes changes;
			    changes.nodes = *rc::gen::inRange<std::size_t>(1, 60);
			    changes.served = (3 * changes.nodes + 3) / 4;
			    changes.apart = *rc::gen::inRange<int64_t>(100, 500);
			    changes.bytes = *rc::gen::inRange<std::size_t>(100, 8000);
			    changes.seed = *rc::gen::inRange<uint64_t>(1, 1000);
			    RC_ASSERT(playChanges(changes) <= kInForce);
		    });
		CPPUNIT_ASSERT(holds);
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(ManyChangesTest);

} // namespace sedgecart

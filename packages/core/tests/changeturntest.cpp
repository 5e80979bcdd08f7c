// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <core/changeturn.h>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <vector>

namespace sedgecart
{

namespace
{

constexpr int64_t kLookMillis = 200; //!< Between two looks of a node.

/// Nodes that see the same loss at the same moment, each some time after the others, before a store that takes the
/// first change.
class LossOfAPart
{
public:
	/// @param _offsets by node, milliseconds: when within its pause a node looks.
	/// @param _seenAfter from the first append until nodes have read it, milliseconds.
	LossOfAPart(const std::vector<int64_t>& _offsets, int64_t _seenAfter) : offsets_(_offsets), seenAfter_(_seenAfter)
	{
	}

	/// @param _cut nodes that cannot reach the store, the first ones.
	/// @returns tries that reached the store.
	std::size_t play(std::size_t _cut)
	{
		std::vector<ChangeTurn> turns(offsets_.size());
		std::size_t tries = 0;
		for (int64_t millis = 0; millis < 20000; ++millis)
		{
			if (0 <= doneAt_ && doneAt_ + seenAfter_ < millis)
			{
				break;
			}
			for (std::size_t node = 0; node < turns.size(); ++node)
			{
				if (millis < offsets_[node] || 0 != (millis - offsets_[node]) % kLookMillis)
				{
					continue;
				}
				const Time now{1000000 + millis * 1000};
				turns[node].setWanted(true, now);
				if (!turns[node].isDue(node, now))
				{
					continue;
				}
				const bool reaches = _cut <= node;
				tries += reaches ? 1 : 0;
				doneAt_ = reaches && doneAt_ < 0 ? millis : doneAt_;
				turns[node].onOutcome(reaches, now);
			}
		}
		return tries;
	}

	/// @returns when the change was made, milliseconds; below 0: never.
	int64_t doneAt() const
	{
		return doneAt_;
	}

private:
	std::vector<int64_t> offsets_;
	int64_t seenAfter_;
	int64_t doneAt_ = -1;
};

/// Nodes that want the same change before a store that takes none for a while.
class RefusingStore
{
public:
	/// @param _offsets by node, milliseconds: when within its pause a node looks.
	explicit RefusingStore(const std::vector<int64_t>& _offsets) : offsets_(_offsets)
	{
	}

	/// @param _takesAt when it takes the next change, milliseconds.
	void play(int64_t _takesAt)
	{
		std::vector<ChangeTurn> turns(offsets_.size());
		tries_.assign(static_cast<std::size_t>(_takesAt / kMillisPerSecond) + 1, 0);
		for (int64_t millis = 0; doneAt_ < 0 && millis < _takesAt + kPatience; ++millis)
		{
			for (std::size_t node = 0; doneAt_ < 0 && node < turns.size(); ++node)
			{
				look(turns[node], node, millis, _takesAt);
			}
		}
	}

	/// @returns most tries in a second, from a second on.
	std::size_t mostTries(std::size_t _fromSecond) const
	{
		return *std::max_element(tries_.begin() + static_cast<int64_t>(_fromSecond), tries_.end());
	}

	/// @returns when the change was made, milliseconds; below 0: never.
	int64_t doneAt() const
	{
		return doneAt_;
	}

private:
	static constexpr int64_t kMillisPerSecond = 1000;
	static constexpr int64_t kPatience = 20000;

	void look(ChangeTurn& _turn, std::size_t _node, int64_t _millis, int64_t _takesAt)
	{
		if (_millis < offsets_[_node] || 0 != (_millis - offsets_[_node]) % kLookMillis)
		{
			return;
		}
		const Time now{1000000 + _millis * 1000};
		_turn.setFleet(_node, offsets_.size());
		_turn.setWanted(true, now);
		if (!_turn.isDue(_node, now))
		{
			return;
		}
		const bool takes = _takesAt <= _millis;
		if (!takes)
		{
			++tries_[static_cast<std::size_t>(_millis / kMillisPerSecond)];
		}
		doneAt_ = takes ? _millis : doneAt_;
		_turn.onOutcome(takes, now);
	}

	std::vector<int64_t> offsets_;
	std::vector<std::size_t> tries_; //!< By second.
	int64_t doneAt_ = -1;
};

std::vector<int64_t> spreadOffsets(std::size_t _nodes)
{
	constexpr std::size_t kStride = 37; // no divisor of the pause
	std::vector<int64_t> offsets;
	for (std::size_t node = 0; node < _nodes; ++node)
	{
		offsets.push_back(static_cast<int64_t>(node * kStride % kLookMillis));
	}
	return offsets;
}

} // namespace

class ChangeTurnTest : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(ChangeTurnTest);
	CPPUNIT_TEST(fewOfAFleetTry);
	CPPUNIT_TEST(whoGetsNoAnswerTriesSeldom);
	CPPUNIT_TEST(aFleetTriesARefusingStoreAsSeldomAsAFewNodes);
	CPPUNIT_TEST(theStoreThatTakesChangesAgainIsFoundSoon);
	CPPUNIT_TEST_SUITE_END();

public:
	/// Some hundred calls of nodes that lost to one were made at each loss of a target.
	void fewOfAFleetTry()
	{
		const bool holds = rc::check(
		    []
		    {
			    const std::size_t nodes = *rc::gen::inRange(1, 330);
			    std::vector<int64_t> offsets;
			    for (std::size_t node = 0; node < nodes; ++node)
			    {
				    offsets.push_back(*rc::gen::inRange(0, 200));
			    }
			    const std::size_t cut = *rc::gen::inRange<std::size_t>(0, nodes / 4 + 1);
			    LossOfAPart loss(offsets, *rc::gen::inRange(20, 220));
			    const std::size_t tries = loss.play(cut);
			    RC_ASSERT(0 <= loss.doneAt());
			    RC_ASSERT(loss.doneAt() < 3000);
			    RC_ASSERT(tries <= 4 + 4 * cut);
		    });
		CPPUNIT_ASSERT(holds);
	}

	void whoGetsNoAnswerTriesSeldom()
	{
		ChangeTurn turn;
		std::size_t tries = 0;
		for (int64_t millis = 0; millis < 8000; millis += kLookMillis)
		{
			const Time now{1000000 + millis * 1000};
			turn.setWanted(true, now);
			if (turn.isDue(0, now))
			{
				++tries;
				turn.onOutcome(false, now);
			}
		}
		CPPUNIT_ASSERT_EQUAL(std::size_t(5), tries); // at 0, 0.4, 1.2, 2.8 and 6.0 s
	}

	/// The store answers reads and refuses appends. Each node paused by itself, so that the calls grew with the fleet.
	/// All of them have tried once in the first three seconds, as they must where it refuses some only.
	void aFleetTriesARefusingStoreAsSeldomAsAFewNodes()
	{
		constexpr std::size_t kMostTries = 20; // ten, and twice as many where two rounds meet
		for (const std::size_t nodes : {3UL, 30UL, 100UL, 295UL})
		{
			RefusingStore store(spreadOffsets(nodes));
			store.play(12000);
			CPPUNIT_ASSERT_LESSEQUAL(kMostTries, store.mostTries(3));
		}
	}

	void theStoreThatTakesChangesAgainIsFoundSoon()
	{
		const bool holds = rc::check(
		    []
		    {
			    const auto nodes = *rc::gen::inRange<std::size_t>(1, 330);
			    const int64_t takesAt = *rc::gen::inRange<int64_t>(0, 20000);
			    RefusingStore store(spreadOffsets(nodes));
			    store.play(takesAt);
			    RC_ASSERT(0 <= store.doneAt());
			    RC_ASSERT(store.doneAt() <= takesAt + ChangeTurn::kLongestPause.millis() + 2 * kLookMillis);
		    });
		CPPUNIT_ASSERT(holds);
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(ChangeTurnTest);

} // namespace sedgecart

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <core/changeturn.h>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

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

} // namespace

class ChangeTurnTest : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(ChangeTurnTest);
	CPPUNIT_TEST(fewOfAFleetTry);
	CPPUNIT_TEST(whoGetsNoAnswerTriesSeldom);
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(ChangeTurnTest);

} // namespace sedgecart

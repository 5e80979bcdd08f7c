// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <core/appendschedule.h>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <vector>

namespace sedgecart
{

namespace
{

constexpr int64_t kCheckMillis = 200; //!< Time between two checks of a node.

/// The checks of one node.
class Checks
{
public:
	/// @param _offset phase of the node's steps, milliseconds.
	explicit Checks(int64_t _offset) : offset_(_offset)
	{
	}

	/// @returns true if the node checks now whether a change is needed.
	bool isDue(const AppendSchedule& _schedule, std::size_t _place, int64_t _millis)
	{
		const bool isStep = offset_ <= _millis && 0 == (_millis - offset_) % kCheckMillis;
		if (!isStep || _millis < checkedAt_ + _schedule.checkInterval(_place).millis())
		{
			return false;
		}
		checkedAt_ = _millis;
		return true;
	}

private:
	int64_t offset_;
	int64_t checkedAt_ = -1000000; //!< Milliseconds.
};

/// Simulates nodes that detect the same loss at nearly the same moment, and a store that accepts the first change.
class SimulatedLoss
{
public:
	/// @param _offsets by node, milliseconds: phase of the node's periodic check.
	/// @param _seenAfter from the first append until nodes have read it, milliseconds.
	SimulatedLoss(const std::vector<int64_t>& _offsets, int64_t _visibleAfter)
	    : offsets_(_offsets),
	      visibleAfter_(_visibleAfter)
	{
	}

	/// @param _unreachable number of nodes, the first ones, that cannot reach the store.
	/// @returns the attempts that reached the store.
	std::size_t play(std::size_t _unreachable)
	{
		std::vector<AppendSchedule> turns(offsets_.size());
		std::vector<Checks> checks(offsets_.begin(), offsets_.end());
		std::size_t attempts = 0;
		for (int64_t millis = 0; millis < 20000; ++millis)
		{
			if (0 <= doneAt_ && doneAt_ + visibleAfter_ < millis)
			{
				break;
			}
			for (std::size_t node = 0; node < turns.size(); ++node)
			{
				if (!checks[node].isDue(turns[node], node, millis))
				{
					continue;
				}
				const Time now{1000000 + millis * 1000};
				turns[node].setWanted(true, now);
				if (!turns[node].isDue(node, now))
				{
					continue;
				}
				const bool reaches = _unreachable <= node;
				attempts += reaches ? 1 : 0;
				doneAt_ = reaches && doneAt_ < 0 ? millis : doneAt_;
				turns[node].onOutcome(reaches, now);
			}
		}
		return attempts;
	}

	/// @returns when the change was made, milliseconds; below 0: never.
	int64_t doneAt() const
	{
		return doneAt_;
	}

private:
	std::vector<int64_t> offsets_;
	int64_t visibleAfter_;
	int64_t doneAt_ = -1;
};

/// Simulates nodes that want the same change, and a store that accepts none for some time.
class RefusingStore
{
public:
	/// @param _offsets by node, milliseconds: phase of the node's periodic check.
	explicit RefusingStore(const std::vector<int64_t>& _offsets) : offsets_(_offsets)
	{
	}

	/// @param _acceptsAt when the store accepts the next change, milliseconds.
	void play(int64_t _acceptsAt)
	{
		std::vector<AppendSchedule> turns(offsets_.size());
		checks_ = std::vector<Checks>(offsets_.begin(), offsets_.end());
		attempts_.assign(static_cast<std::size_t>(_acceptsAt / kMillisPerSecond) + 1, 0);
		for (int64_t millis = 0; doneAt_ < 0 && millis < _acceptsAt + kMaxRecoveryMillis; ++millis)
		{
			for (std::size_t node = 0; doneAt_ < 0 && node < turns.size(); ++node)
			{
				check(turns[node], node, millis, _acceptsAt);
			}
		}
	}

	/// @returns the highest number of attempts in one second, from a given second on.
	std::size_t maxAttempts(std::size_t _fromSecond) const
	{
		return *std::max_element(attempts_.begin() + static_cast<int64_t>(_fromSecond), attempts_.end());
	}

	/// @returns when the change was made, milliseconds; below 0: never.
	int64_t doneAt() const
	{
		return doneAt_;
	}

private:
	static constexpr int64_t kMillisPerSecond = 1000;
	static constexpr int64_t kMaxRecoveryMillis = 20000;

	void check(AppendSchedule& _turn, std::size_t _node, int64_t _millis, int64_t _acceptsAt)
	{
		if (!checks_[_node].isDue(_turn, _node, _millis))
		{
			return;
		}
		const Time now{1000000 + _millis * 1000};
		_turn.setContenders(_node, offsets_.size());
		_turn.setWanted(true, now);
		if (!_turn.isDue(_node, now))
		{
			return;
		}
		const bool accepts = _acceptsAt <= _millis;
		if (!accepts)
		{
			++attempts_[static_cast<std::size_t>(_millis / kMillisPerSecond)];
		}
		doneAt_ = accepts ? _millis : doneAt_;
		_turn.onOutcome(accepts, now);
	}

	std::vector<int64_t> offsets_;
	std::vector<Checks> checks_;        //!< By node.
	std::vector<std::size_t> attempts_; //!< By second.
	int64_t doneAt_ = -1;
};

std::vector<int64_t> spreadOffsets(std::size_t _nodes)
{
	constexpr std::size_t kStride = 37; // coprime to the check interval
	std::vector<int64_t> offsets;
	for (std::size_t node = 0; node < _nodes; ++node)
	{
		offsets.push_back(static_cast<int64_t>(node * kStride % kCheckMillis));
	}
	return offsets;
}

} // namespace

class AppendScheduleTest : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(AppendScheduleTest);
	CPPUNIT_TEST(onlyFewNodesOfAFleetTry);
	CPPUNIT_TEST(unansweredNodeBacksOff);
	CPPUNIT_TEST(attemptRateAtARefusingStoreDoesNotGrowWithTheFleet);
	CPPUNIT_TEST(recoveredStoreIsDetectedSoon);
	CPPUNIT_TEST(checksGrowWithTheLogarithmOfTheFleet);
	CPPUNIT_TEST_SUITE_END();

public:
	/// Each node planned the layout of all targets five times a second.
	void checksGrowWithTheLogarithmOfTheFleet()
	{
		const double small = checksPerSecond(300);
		const double large = checksPerSecond(1000);
		const double larger = checksPerSecond(2000);
		CPPUNIT_ASSERT(large < 1.5 * small);
		CPPUNIT_ASSERT(larger - large < 1.1 * (large - small)); // a doubling adds as much as any other
		AppendSchedule schedule;
		CPPUNIT_ASSERT_EQUAL(int64_t(0), schedule.checkInterval(0).micros);
		CPPUNIT_ASSERT_EQUAL(AppendSchedule::kCheckStep.micros,
		                     schedule.checkInterval(AppendSchedule::kFrequentCheckers).micros);
		schedule.setWanted(true, Time{1000000});
		CPPUNIT_ASSERT_EQUAL(int64_t(0), schedule.checkInterval(1000).micros);
	}

	/// Each loss of a target caused some hundred calls of nodes whose change came too late.
	void onlyFewNodesOfAFleetTry()
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
			    const std::size_t unreachable = *rc::gen::inRange<std::size_t>(0, nodes / 4 + 1);
			    SimulatedLoss loss(offsets, *rc::gen::inRange(20, 220));
			    const std::size_t attempts = loss.play(unreachable);
			    RC_ASSERT(0 <= loss.doneAt());
			    RC_ASSERT(loss.doneAt() < 3000);
			    RC_ASSERT(attempts <= 4 + 4 * unreachable);
		    });
		CPPUNIT_ASSERT(holds);
	}

	void unansweredNodeBacksOff()
	{
		AppendSchedule turn;
		std::size_t attempts = 0;
		for (int64_t millis = 0; millis < 8000; millis += kCheckMillis)
		{
			const Time now{1000000 + millis * 1000};
			turn.setWanted(true, now);
			if (turn.isDue(0, now))
			{
				++attempts;
				turn.onOutcome(false, now);
			}
		}
		CPPUNIT_ASSERT_EQUAL(std::size_t(5), attempts); // at 0, 0.4, 1.2, 2.8 and 6.0 s
	}

	/// The store answers reads and refuses appends. Each node backed off independently of the others, so that the calls
	/// grew with the fleet. All nodes try once in the first three seconds, as they must since the store may refuse only
	/// some of them.
	void attemptRateAtARefusingStoreDoesNotGrowWithTheFleet()
	{
		constexpr std::size_t kMaxAttempts = 20; // ten, and twice as many where two rounds overlap
		for (const std::size_t nodes : {3UL, 30UL, 100UL, 295UL})
		{
			RefusingStore store(spreadOffsets(nodes));
			store.play(12000);
			CPPUNIT_ASSERT_LESSEQUAL(kMaxAttempts, store.maxAttempts(3));
		}
	}

	void recoveredStoreIsDetectedSoon()
	{
		const bool holds = rc::check(
		    []
		    {
			    const auto nodes = *rc::gen::inRange<std::size_t>(1, 330);
			    const int64_t acceptsAt = *rc::gen::inRange<int64_t>(0, 20000);
			    RefusingStore store(spreadOffsets(nodes));
			    store.play(acceptsAt);
			    RC_ASSERT(0 <= store.doneAt());
			    RC_ASSERT(store.doneAt() <= acceptsAt + AppendSchedule::kMaxBackoff.millis() + 2 * kCheckMillis);
		    });
		CPPUNIT_ASSERT(holds);
	}

private:
	/// @returns the number of checks per second of a fleet.
	static double checksPerSecond(std::size_t _nodes)
	{
		double checks = 0;
		for (std::size_t node = 0; node < _nodes; ++node)
		{
			const int64_t interval = std::max(kCheckMillis, AppendSchedule().checkInterval(node).millis());
			checks += 1000.0 / static_cast<double>(interval);
		}
		return checks;
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(AppendScheduleTest);

} // namespace sedgecart

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <core/orderbook.h>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace sedgecart
{

/// How long an order counts as held, by what is known of it.
class OrderBookTest : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(OrderBookTest);
	CPPUNIT_TEST(anOrderCountsForItsLoadAndTheRegistrysLag);
	CPPUNIT_TEST(whatTheRegistryShowsEndsIt);
	CPPUNIT_TEST(aRefusalBringsTheEarlierOrderBack);
	CPPUNIT_TEST(aRefusedOrderIsNotAskedAgainForAWhile);
	CPPUNIT_TEST(aBusyTargetMayHaveTakenWhatWasNotAnswered);
	CPPUNIT_TEST(aTargetThatIsBusyForEverIsGivenUp);
	CPPUNIT_TEST(slowLoadsGiveLaterOnesMoreTime);
	CPPUNIT_TEST(slowLoadsDelayNoQuestion);
	CPPUNIT_TEST(whatARecordTellsIsTaken);
	CPPUNIT_TEST(aRecordBringsNoEndedOrderBack);
	CPPUNIT_TEST(aRestartEndsIt);
	CPPUNIT_TEST(layersOfBeforeAreNoSign);
	CPPUNIT_TEST(oneNodeAfterTheOtherAsks);
	CPPUNIT_TEST(anEarlierOrderIsNotSentAgain);
	CPPUNIT_TEST(switchedOffItCountsForAFixedTime);
	CPPUNIT_TEST(aRefusalThatNodesTellEachOtherEnds);
	CPPUNIT_TEST(aLateRefusalEndsTheOrderAndIsTold);
	CPPUNIT_TEST(aRefusalOfLongAgoIsNotTaken);
	CPPUNIT_TEST(whatIsGivenUpIsToldAndNotSentAgain);
	CPPUNIT_TEST_SUITE_END();

public:
	void anOrderCountsForItsLoadAndTheRegistrysLag()
	{
		take(kNew, 7, 20000);
		CPPUNIT_ASSERT(counts(kNew, 20000 + kLag));
		CPPUNIT_ASSERT(counts(kNew, 20000 + kLag + kSettle));
		CPPUNIT_ASSERT(!counts(kNew, 20000 + kLag + kSettle + 1));
		book_.pass(at(20000 + kLag + kSettle + 1));
		CPPUNIT_ASSERT_EQUAL(OrderPhase::GivenUp, lastEvent().phase);
	}

	void whatTheRegistryShowsEndsIt()
	{
		take(kNew, 7, 2000);
		show(kOld, 500);
		CPPUNIT_ASSERT(counts(kNew, 500));
		show(kNew, 2600);
		CPPUNIT_ASSERT(!counts(kNew, 2600));
		const HoldOrder event = lastEvent();
		CPPUNIT_ASSERT_EQUAL(OrderPhase::Shown, event.phase);
		CPPUNIT_ASSERT_EQUAL(int64_t(2600), event.age.millis());
	}

	/// The target is busy with an order that was begun, and that stays what it will hold.
	void aRefusalBringsTheEarlierOrderBack()
	{
		take(kOld, 7, 5000);
		take(kNew, 9, 5000, 1000);
		send(9, 1000);
		CPPUNIT_ASSERT(counts(kNew, 1000));
		book_.onAnswer(life(), Offset{9}, LayoutOrderState::Unfit, at(1100));
		CPPUNIT_ASSERT(counts(kOld, 1100));
		CPPUNIT_ASSERT(book_.hasNews());
		CPPUNIT_ASSERT_EQUAL(LayoutOrderState::Unfit, lastEvent().reason);
	}

	void aRefusedOrderIsNotAskedAgainForAWhile()
	{
		take(kNew, 7, 5000);
		send(7, 0);
		book_.onAnswer(life(), Offset{7}, LayoutOrderState::Unfit, at(100));
		CPPUNIT_ASSERT(book_.isRefused(life(), kNew, at(100)));
		CPPUNIT_ASSERT(!book_.isRefused(life(), kOld, at(100)));
		CPPUNIT_ASSERT(book_.hasRefused(life(), at(100)));
		const int64_t over = 100 + OrderBook::kRefusedFor.millis();
		CPPUNIT_ASSERT(!book_.isRefused(life(), kNew, at(over)));
		CPPUNIT_ASSERT(!book_.hasRefused(life(), at(over)));
	}

	/// Refused as busy on the second try, it may be busy with the first: it counts, and is asked again.
	void aBusyTargetMayHaveTakenWhatWasNotAnswered()
	{
		take(kNew, 7, 5000);
		send(7, 0);
		book_.onAnswer(life(), Offset{7}, LayoutOrderState::Unknown, at(1500));
		CPPUNIT_ASSERT(book_.dueAgain(0, at(1600)).empty());
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), book_.dueAgain(0, at(2000)).size());
		send(7, 2000);
		CPPUNIT_ASSERT(book_.dueAgain(0, at(4000)).empty());
		book_.onAnswer(life(), Offset{7}, LayoutOrderState::Unfit, at(2100));
		CPPUNIT_ASSERT(counts(kNew, 2100));
		CPPUNIT_ASSERT(!book_.isRefused(life(), kNew, at(2100)));
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), book_.dueAgain(0, at(2600)).size());
	}

	void aTargetThatIsBusyForEverIsGivenUp()
	{
		take(kNew, 7, 5000);
		int64_t now = 0;
		for (; counts(kNew, now); now += 600)
		{
			CPPUNIT_ASSERT(now < 60000);
			send(7, now);
			book_.onAnswer(life(), Offset{7}, 0 == now ? LayoutOrderState::Begun : LayoutOrderState::Unfit, at(now));
		}
		CPPUNIT_ASSERT(2 * (5000 + kLag) < now);
	}

	/// More loads at a time than the shared store bears take longer in proportion.
	void slowLoadsGiveLaterOnesMoreTime()
	{
		take(kOld, 7, 5000);
		show(kOld, 2 * (5000 + kLag));
		take(kNew, 9, 5000, 30000);
		CPPUNIT_ASSERT(counts(kNew, 30000 + 2 * (5000 + kLag)));
	}

	/// An order that its author never sent would wait for as long as the slowest load took.
	void slowLoadsDelayNoQuestion()
	{
		take(kOld, 7, 5000);
		show(kOld, 4 * (5000 + kLag));
		book_.take(life(), kNew, Offset{9}, Duration::fromMillis(5000), false, at(50000));
		const int64_t alone = 50000 + 5000 + kLag;
		CPPUNIT_ASSERT(book_.dueAgain(0, at(alone)).empty());
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), book_.dueAgain(0, at(alone + 1)).size());
		send(9, alone + 1);
		book_.onAnswer(life(), Offset{9}, LayoutOrderState::Unfit, at(alone + 10));
		CPPUNIT_ASSERT(!book_.hasNews()); // the others count on it for longer yet
		CPPUNIT_ASSERT(book_.dueAgain(0, at(alone + kLag)).empty());
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), book_.dueAgain(0, at(alone + 20 + kLag)).size());
	}

	void whatARecordTellsIsTaken()
	{
		HoldOrder told = order(kNew, 7, 5000);
		told.phase = OrderPhase::Begun;
		book_.takeTold(told, Duration::fromMillis(4000), at(1000));
		CPPUNIT_ASSERT(counts(kNew, 5000));
		CPPUNIT_ASSERT(!counts(kNew, 5001));
		book_.takeTold(told, Duration::fromMillis(9000), at(2000));
		CPPUNIT_ASSERT(counts(kNew, 11000));
		told.phase = OrderPhase::Refused;
		told.reason = LayoutOrderState::Unfit;
		book_.takeTold(told, Duration{}, at(3000));
		CPPUNIT_ASSERT(!counts(kNew, 3000));
		CPPUNIT_ASSERT(book_.isRefused(life(), kNew, at(3000)));
		CPPUNIT_ASSERT(!book_.hasNews()); // a record has told it
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), book_.told().size());
	}

	/// Records and answers overtake each other.
	void aRecordBringsNoEndedOrderBack()
	{
		take(kNew, 7, 5000);
		send(7, 0);
		book_.onAnswer(life(), Offset{7}, LayoutOrderState::Unfit, at(100));
		book_.takeTold(order(kNew, 7, 5000), Duration::fromMillis(8000), at(200));
		CPPUNIT_ASSERT(!counts(kNew, 200));
		HoldOrder far = order(kNew, 8, 5000);
		book_.takeTold(far, Duration::fromMillis(3600000), at(200));
		CPPUNIT_ASSERT(!counts(kNew, 60000)); // no load lasts for an hour
	}

	void aRestartEndsIt()
	{
		take(kNew, 7, 5000);
		RunnerRecord record = shown(kOld);
		record.born.unixMillis = kBorn + 1;
		book_.onShown(record, at(500));
		CPPUNIT_ASSERT(!counts(kNew, 500));
		CPPUNIT_ASSERT_EQUAL(OrderPhase::GivenUp, lastEvent().phase);
	}

	/// Ordered away and back, a target shows the same layers before it has begun.
	void layersOfBeforeAreNoSign()
	{
		take(kNew, 7, 5000);
		take(kOld, 9, 5000, 1000);
		show(kOld, 1200);
		CPPUNIT_ASSERT(counts(kOld, 1200));
		show(kOld, 1000 + kLag);
		CPPUNIT_ASSERT(!counts(kNew, 1000 + kLag));
	}

	void oneNodeAfterTheOtherAsks()
	{
		takeOfAnother(kNew, 7, 5000);
		const int64_t due = 5000 + kLag;
		CPPUNIT_ASSERT(book_.dueAgain(0, at(due)).empty());
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), book_.dueAgain(0, at(due + 1)).size());
		CPPUNIT_ASSERT(book_.dueAgain(1, at(due + 1)).empty());
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), book_.dueAgain(1, at(due + 700)).size());
		CPPUNIT_ASSERT(book_.dueAgain(50, at(due + 2900)).empty());
		send(7, due + 1);
		book_.onAnswer(life(), Offset{7}, LayoutOrderState::Begun, at(due + 10));
		CPPUNIT_ASSERT(counts(kNew, due + 5000 + kLag));
		CPPUNIT_ASSERT(book_.hasNews());
	}

	/// Where targets do not go by fences it would undo the later one; where they do, it would meet the later one's
	/// fence and seem refused.
	void anEarlierOrderIsNotSentAgain()
	{
		take(kOld, 7, 5000);
		send(7, 0);
		book_.onAnswer(life(), Offset{7}, LayoutOrderState::Unknown, at(1500));
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), book_.dueAgain(0, at(2100)).size());
		take(kNew, 9, 5000, 2200);
		send(9, 2200);
		CPPUNIT_ASSERT(book_.dueAgain(0, at(2300)).empty());
		book_.onAnswer(life(), Offset{9}, LayoutOrderState::Unfit, at(2400));
		CPPUNIT_ASSERT(counts(kOld, 5000));
		CPPUNIT_ASSERT(book_.dueAgain(0, at(5000)).empty());
	}

	void switchedOffItCountsForAFixedTime()
	{
		OrderBook book(false);
		book.take(life(), kNew, Offset{7}, Duration::fromMillis(60000), true, at(0));
		book.onAnswer(life(), Offset{7}, LayoutOrderState::Unfit, at(100));
		CPPUNIT_ASSERT(nullptr != book.counting(life(), at(5999)));
		CPPUNIT_ASSERT(nullptr == book.counting(life(), at(6001)));
		CPPUNIT_ASSERT(!book.hasNews() && book.told().empty() && book.dueAgain(0, at(5000)).empty());
	}

	/// One refusal; two nodes write a record in turn, each 2 s, for 30 s.
	void aRefusalThatNodesTellEachOtherEnds()
	{
		OrderBook other{true};
		take(kNew, 7, 2000);
		send(7, 10);
		book_.onAnswer(life(), Offset{7}, LayoutOrderState::Unfit, at(20));
		int64_t now = 100;
		for (int round = 0; round < 15; ++round, now += 2000)
		{
			OrderBook& author = 0 == round % 2 ? book_ : other;
			OrderBook& reader = 0 == round % 2 ? other : book_;
			author.pass(at(now));
			reader.pass(at(now));
			for (const HoldOrder& known : author.told())
			{
				HoldOrder told; // as a record tells it
				told.life = known.life;
				told.layers = known.layers;
				told.fence = known.fence;
				told.orderedAt = known.orderedAt;
				told.load = known.load;
				told.phase = known.phase;
				told.reason = known.reason;
				const Duration left = std::max(Duration{}, known.countsUntil - at(now));
				reader.takeTold(told, left, at(now));
			}
		}
		CPPUNIT_ASSERT(!book_.isRefused(life(), kNew, at(now)));
		CPPUNIT_ASSERT(!other.isRefused(life(), kNew, at(now)));
	}

	/// A target may refuse when it is asked what became of an order, long after it was ordered: whoever counts on it
	/// has to know, and whoever is told must not order the same at once.
	void aLateRefusalEndsTheOrderAndIsTold()
	{
		constexpr int64_t kLate = 6000;
		OrderBook other{true};
		take(kNew, 7, 5000);
		other.take(life(), kNew, Offset{7}, Duration::fromMillis(5000), false, at(0));
		send(7, kLate);
		book_.onAnswer(life(), Offset{7}, LayoutOrderState::OtherTarget, at(kLate));
		book_.pass(at(kLate + 200));
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), book_.told().size());
		CPPUNIT_ASSERT_EQUAL(OrderPhase::Refused, book_.told().front().phase);
		other.takeTold(book_.told().front(), Duration{}, at(kLate + 300));
		CPPUNIT_ASSERT(nullptr == other.counting(life(), at(kLate + 300)));
		CPPUNIT_ASSERT(other.isRefused(life(), kNew, at(kLate + 300)));
		book_.pass(at(kLate + OrderBook::kRefusedFor.millis()));
		CPPUNIT_ASSERT(book_.told().empty());
	}

	void aRefusalOfLongAgoIsNotTaken()
	{
		const int64_t over = OrderBook::kRefusedFor.millis();
		HoldOrder told = order(kNew, 7, 5000);
		told.phase = OrderPhase::Refused;
		told.reason = LayoutOrderState::Unfit;
		book_.takeTold(told, Duration::fromMillis(4000), at(over));
		CPPUNIT_ASSERT(book_.told().empty() && nullptr == book_.counting(life(), at(over)));
		CPPUNIT_ASSERT(!book_.hasRefused(life(), at(over)));
		book_.takeTold(told, Duration::fromMillis(4000), at(over - 1));
		CPPUNIT_ASSERT(book_.hasRefused(life(), at(over - 1)));
		CPPUNIT_ASSERT(!book_.hasRefused(life(), at(over)));
	}

	void whatIsGivenUpIsToldAndNotSentAgain()
	{
		take(kNew, 7, 5000);
		send(7, 0);
		book_.onAnswer(life(), Offset{7}, LayoutOrderState::Unknown, at(1500));
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), book_.dueAgain(0, at(2100)).size());
		book_.giveUp(order(kNew, 7, 5000), at(2100));
		CPPUNIT_ASSERT_EQUAL(OrderPhase::GivenUp, lastEvent().phase);
		CPPUNIT_ASSERT(!counts(kNew, 2100));
		CPPUNIT_ASSERT(book_.dueAgain(0, at(9000)).empty());
	}

private:
	static constexpr LayerSpan kOld{0, 20};
	static constexpr LayerSpan kNew{20, 40};
	static constexpr int64_t kBorn = 1790000000000;
	static constexpr int64_t kStart = 1000000; //!< Milliseconds; 0 means none in some times.
	static constexpr int64_t kLag = OrderBook::kRegistryLag.millis();
	static constexpr int64_t kSettle = OrderBook::kSettleTime.millis();

	static Time at(int64_t _millis)
	{
		return Time{(kStart + _millis) * 1000};
	}

	static TargetLife life()
	{
		return TargetLife{InstanceId{"t"}, BirthTime{kBorn}};
	}

	static HoldOrder order(LayerSpan _layers, uint64_t _fence, int64_t _loadMs)
	{
		HoldOrder order;
		order.life = life();
		order.layers = _layers;
		order.fence = Offset{_fence};
		order.orderedAt = at(0);
		order.load = Duration::fromMillis(_loadMs);
		return order;
	}

	void take(LayerSpan _layers, uint64_t _fence, int64_t _loadMs, int64_t _now = 0)
	{
		book_.take(life(), _layers, Offset{_fence}, Duration::fromMillis(_loadMs), true, at(_now));
	}

	void takeOfAnother(LayerSpan _layers, uint64_t _fence, int64_t _loadMs)
	{
		book_.take(life(), _layers, Offset{_fence}, Duration::fromMillis(_loadMs), false, at(0));
	}

	void send(uint64_t _fence, int64_t _now)
	{
		book_.onSent(order(kNew, _fence, 0), at(_now));
	}

	static RunnerRecord shown(LayerSpan _layers)
	{
		RunnerRecord record;
		record.instance = life().instance;
		record.born = life().born;
		record.layers = _layers;
		return record;
	}

	void show(LayerSpan _layers, int64_t _now)
	{
		book_.onShown(shown(_layers), at(_now));
	}

	bool counts(LayerSpan _layers, int64_t _now) const
	{
		const HoldOrder* const order = book_.counting(life(), at(_now));
		return nullptr != order && _layers == order->layers;
	}

	HoldOrder lastEvent()
	{
		const std::vector<HoldOrder> events = book_.takeEvents();
		CPPUNIT_ASSERT(!events.empty());
		return events.back();
	}

	OrderBook book_{true};
};

CPPUNIT_TEST_SUITE_REGISTRATION(OrderBookTest);

} // namespace sedgecart

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <loads/pathwatch.h>
#include <metrics/metrics.h>

#include <boost/asio/io_context.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace sedgecart
{

namespace
{

class HandClock : public ClockI
{
public:
	Time now() const override
	{
		now_.micros += runs_ ? 1 : 0;
		return now_;
	}

	/// From now on time passes between two readings, as it does within one look.
	void run()
	{
		runs_ = true;
	}

	void advanceMicros(int64_t _micros)
	{
		now_.micros += _micros;
	}

	void advance(int64_t _millis)
	{
		now_ = now_ + Duration::fromMillis(_millis);
	}

private:
	mutable Time now_{1000000};
	bool runs_ = false;
};

/// Keeps questions until the test answers them.
class HeldOrders : public RunnerOrdersI
{
public:
	/// A question that is open.
	struct Question
	{
		std::string address;
		Time endsAt; //!< Its bound.
		ProbeCall call;
	};

	explicit HeldOrders(const HandClock& _clock) : clock_(_clock)
	{
	}

	void hold(const RunnerRecord&, LayerSpan, Offset, OrderCall) override
	{
	}

	void probe(const std::string& _address, Duration _bound, ProbeCall _call) override
	{
		addresses.push_back(_address);
		bounds.push_back(_bound);
		calls.push_back(Question{_address, clock_.now() + _bound, std::move(_call)});
	}

	void poll(const std::string&, Duration, ProbeCall) override
	{
	}

	void repath(const std::string&, const std::string&, const std::vector<PathStop>&, RepathCall) override
	{
	}

	/// Answers the oldest question.
	void answer(bool _answered, bool _refused = false, bool _cut = false, bool _unasked = false)
	{
		const ProbeCall call = std::move(calls.front().call);
		calls.pop_front();
		ProbeAnswer answer;
		answer.answered = _answered;
		answer.refused = _refused;
		answer.cut = _cut;
		answer.unasked = _unasked;
		answer.born = born;
		call(answer);
	}

	BirthTime born; //!< That the targets tell.
	std::vector<std::string> addresses;
	std::vector<Duration> bounds;
	std::deque<Question> calls;

private:
	const HandClock& clock_;
};

/// A path over some targets whose last event came when the test says.
class HandPath : public WatchedPathI
{
public:
	std::vector<const FleetTarget*> pathTargets() const override
	{
		return targets;
	}
	std::vector<const FleetTarget*> sureTargets() const override
	{
		return unsure ? std::vector<const FleetTarget*>{targets.front()} : targets;
	}
	Time lastProgress() const override
	{
		return progress;
	}
	bool begun() const override
	{
		return true;
	}
	void onTargetDead(const FleetTarget& _target) override
	{
		dead.push_back(_target.record.instance.text);
		for (const FleetTarget* const target : targets)
		{
			avoidedWhenTold += 0 < target->load->avoidedUntil.load() ? 1 : 0;
		}
	}

	std::vector<const FleetTarget*> targets;
	bool unsure = false; //!< Its first target may have gone on over others.
	Time progress;
	std::vector<std::string> dead;
	int avoidedWhenTold = 0; //!< Targets of the path that were passed over already, at each call.
};

FleetTarget target(const std::string& _name)
{
	FleetTarget made;
	made.record.instance.text = _name;
	made.record.address = _name + ":1";
	made.load = std::make_shared<TargetLoad>();
	return made;
}

} // namespace

class PathWatchTest : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(PathWatchTest);
	CPPUNIT_TEST(whoDoesNotAnswerIsDead);
	CPPUNIT_TEST(aNodeThatStoodStillBlamesNobody);
	CPPUNIT_TEST(allDeadArePassedOverBeforePathsMove);
	CPPUNIT_TEST(slowPathsAreNotSilent);
	CPPUNIT_TEST(oneNodeThatGotNoAnswerIsNotSure);
	CPPUNIT_TEST(whereNobodyListensOneNodeIsSure);
	CPPUNIT_TEST(aLateLookVoidsTheSilence);
	CPPUNIT_TEST(shortOfProcessorItWaitsLonger);
	CPPUNIT_TEST(whoEndsTheConnectionLives);
	CPPUNIT_TEST(aNodeThatHearsNothingTellsNobody);
	CPPUNIT_TEST(aPathThatMovedOnSinceTheQuestionStays);
	CPPUNIT_TEST(aSignOfLifeEndsTheSuspicion);
	CPPUNIT_TEST(ownEarsGoBeforeOthersWord);
	CPPUNIT_TEST(aPathThatMayHaveChangedVouchesForNobodyElse);
	CPPUNIT_TEST(aQuestionThatDidNotGetOutIsNotPutAtEachLook);
	CPPUNIT_TEST(nobodyIsAskedWhileAQuestionIsOpen);
	CPPUNIT_TEST(afterARestLatenessIsForgotten);
	CPPUNIT_TEST(aDeadTargetIsFoundByANodeThatIsAlwaysLate);
	CPPUNIT_TEST(whatOtherNodesAreSureOfIsLeft);
	CPPUNIT_TEST(streamsLeaveAStartThatIsOver);
	CPPUNIT_TEST(anAnswerOfALaterStartIsNoSignOfLife);
	CPPUNIT_TEST(streamsLeaveWhatRefusesItsPart);
	CPPUNIT_TEST_SUITE_END();

public:
	void setUp() override
	{
		path_->targets = {&a_, &b_};
		path_->progress = clock_.now();
		watch_.add(path_);
	}

	void whoDoesNotAnswerIsDead()
	{
		fallSilent();
		CPPUNIT_ASSERT_EQUAL(std::size_t(2), orders_.calls.size());
		orders_.answer(true);
		pass(30);
		orders_.answer(false);
		CPPUNIT_ASSERT((std::vector<std::string>{"b"}) == path_->dead);
	}

	/// The bound of a question is noticed late: this node had no processor, and the answers may be waiting.
	void aNodeThatStoodStillBlamesNobody()
	{
		fallSilent();
		clock_.advance(90);
		orders_.answer(false);
		orders_.answer(false);
		CPPUNIT_ASSERT(path_->dead.empty());
		fallSilent(); // this node was awake again at the first of these looks
		CPPUNIT_ASSERT_EQUAL(std::size_t(2), orders_.calls.size()); // asked again
	}

	/// A path that leaves one dead target must not choose the other.
	void allDeadArePassedOverBeforePathsMove()
	{
		fallSilent();
		pass(30);
		orders_.answer(false);
		CPPUNIT_ASSERT(path_->dead.empty()); // the other question is still open
		orders_.answer(false);
		CPPUNIT_ASSERT_EQUAL(std::size_t(2), path_->dead.size());
		CPPUNIT_ASSERT_EQUAL(4, path_->avoidedWhenTold);
	}

	/// Where events come 60 ms apart, 80 ms without one is nothing.
	void slowPathsAreNotSilent()
	{
		for (int event = 0; event < 200; ++event)
		{
			watch_.noteGap(Duration::fromMillis(60));
		}
		look(12);
		look(30);
		look(30);
		look(8);
		CPPUNIT_ASSERT(orders_.calls.empty());
	}

	/// The answer may have been lost, or this node be weak: the layout does not change on its word alone.
	void oneNodeThatGotNoAnswerIsNotSure()
	{
		fallSilent();
		orders_.answer(true);
		pass(30);
		orders_.answer(false);
		CPPUNIT_ASSERT_EQUAL(0U, a_.load->ownSuspicion(clock_.now()));
		CPPUNIT_ASSERT_EQUAL(kWeakSuspicion, b_.load->ownSuspicion(clock_.now()));
		CPPUNIT_ASSERT(!b_.load->isDead(clock_.now()));
		b_.load->othersSuspicion = kWeakSuspicion;
		CPPUNIT_ASSERT(b_.load->isDead(clock_.now()));
	}

	void whereNobodyListensOneNodeIsSure()
	{
		fallSilent();
		orders_.answer(true);
		constexpr bool kRefused = true;
		orders_.answer(false, kRefused);
		CPPUNIT_ASSERT(b_.load->isDead(clock_.now()));
		CPPUNIT_ASSERT((std::vector<std::string>{"b"}) == path_->dead);
		clock_.advance(5000); // its record has lapsed by now, or it lives
		CPPUNIT_ASSERT(!b_.load->isDead(clock_.now()));
	}

	/// The node is short of processor while its question is open: the answer may wait to be read.
	void aLateLookVoidsTheSilence()
	{
		fallSilent();
		orders_.answer(true);
		look(22); // due after 8 ms
		clock_.advance(8);
		orders_.answer(false);
		CPPUNIT_ASSERT(path_->dead.empty());
		CPPUNIT_ASSERT_EQUAL(0U, b_.load->ownSuspicion(clock_.now()));
	}

	/// Each look comes 8 ms late, as beside a thread that has half of a weak processor: less than any single lateness
	/// that shows a node standing still, and yet an answer takes twice its time. The question waits twice as long, and
	/// an answer that comes by then counts.
	void shortOfProcessorItWaitsLonger()
	{
		for (int step = 0; step < 40 && orders_.calls.empty(); ++step)
		{
			look(16);
		}
		CPPUNIT_ASSERT_EQUAL(std::size_t(2), orders_.calls.size());
		CPPUNIT_ASSERT(50 <= orders_.bounds.front().millis());
		look(16);
		look(16);
		orders_.answer(false); // as after a bound of 32 ms: only half of it was this node awake for
		orders_.answer(true);
		CPPUNIT_ASSERT(path_->dead.empty());
		CPPUNIT_ASSERT_EQUAL(0U, a_.load->ownSuspicion(clock_.now()));
	}

	/// A target with too many connections ends new ones at once. It lives, and streams over it go on.
	void whoEndsTheConnectionLives()
	{
		fallSilent();
		constexpr bool kCut = true;
		orders_.answer(false, false, kCut);
		orders_.answer(false, false, kCut);
		CPPUNIT_ASSERT(path_->dead.empty());
		CPPUNIT_ASSERT_EQUAL(0U, a_.load->ownSuspicion(clock_.now()));
	}

	/// Its only question got no answer and no other stream brought anything: the fault may be its own link.
	void aNodeThatHearsNothingTellsNobody()
	{
		path_->targets = {&a_};
		fallSilent();
		pass(30);
		orders_.answer(false);
		CPPUNIT_ASSERT((std::vector<std::string>{"a"}) == path_->dead);
		CPPUNIT_ASSERT_EQUAL(0U, a_.load->ownSuspicion(clock_.now()));
		CPPUNIT_ASSERT(a_.load->avoidedUntil.load() < (clock_.now() + Duration::fromMillis(1000)).micros);
	}

	/// An event that came over a target since it was asked shows that it lives, whatever became of the answer.
	void aPathThatMovedOnSinceTheQuestionStays()
	{
		fallSilent();
		pass(16);
		path_->progress = clock_.now();
		pass(14);
		orders_.answer(true);
		orders_.answer(false);
		CPPUNIT_ASSERT(path_->dead.empty());
		CPPUNIT_ASSERT_EQUAL(0U, b_.load->ownSuspicion(clock_.now()));
	}

	void aSignOfLifeEndsTheSuspicion()
	{
		fallSilent();
		orders_.answer(true);
		pass(30);
		orders_.answer(false);
		CPPUNIT_ASSERT_EQUAL(kWeakSuspicion, b_.load->ownSuspicion(clock_.now()));
		clock_.advance(1);
		path_->progress = clock_.now();
		look(8);
		CPPUNIT_ASSERT_EQUAL(0U, b_.load->ownSuspicion(clock_.now()));
		CPPUNIT_ASSERT_EQUAL(int64_t(0), b_.load->avoidedUntil.load());
	}

	void ownEarsGoBeforeOthersWord()
	{
		look(8);
		path_->progress = clock_.now();
		a_.load->othersSuspicion = kSureSuspicion;
		look(8);
		CPPUNIT_ASSERT(path_->dead.empty());
	}

	/// The answer to an order to change a path was lost, and its stream goes on: perhaps over the old part, perhaps
	/// over the new one. Others that stand still over the old part must leave it all the same.
	void aPathThatMayHaveChangedVouchesForNobodyElse()
	{
		path_->unsure = true;
		const auto other = std::make_shared<HandPath>();
		other->targets = {&b_};
		other->progress = clock_.now();
		watch_.add(other);
		for (int step = 0; step < 20; ++step)
		{
			path_->progress = clock_.now();
			look(8);
		}
		CPPUNIT_ASSERT((std::vector<std::string>{"b:1"}) == orders_.addresses);
		orders_.answer(false);
		CPPUNIT_ASSERT((std::vector<std::string>{"b"}) == other->dead);
		CPPUNIT_ASSERT(path_->dead.empty());
		CPPUNIT_ASSERT_EQUAL(kWeakSuspicion, b_.load->ownSuspicion(clock_.now()));
	}

	/// No descriptor, no route: it says nothing of the target, and asking at each look would take what is lacking.
	void aQuestionThatDidNotGetOutIsNotPutAtEachLook()
	{
		constexpr bool kUnasked = true;
		for (int step = 0; step < 63; ++step)
		{
			look(8);
			while (!orders_.calls.empty())
			{
				orders_.answer(false, false, false, kUnasked);
			}
		}
		CPPUNIT_ASSERT(std::count(orders_.addresses.begin(), orders_.addresses.end(), "b:1") <= 3);
		CPPUNIT_ASSERT(path_->dead.empty());
	}

	void nobodyIsAskedWhileAQuestionIsOpen()
	{
		fallSilent();
		pass(600);
		CPPUNIT_ASSERT_EQUAL(std::size_t(2), orders_.calls.size());
	}

	void afterARestLatenessIsForgotten()
	{
		for (int step = 0; step < 12; ++step)
		{
			path_->progress = clock_.now();
			look(80);
		}
		path_.reset();
		look(8); // finds nothing to watch
		clock_.advance(60000);
		CPPUNIT_ASSERT_EQUAL(int64_t(150), watch_.stretched(Duration::fromMillis(150)).millis());
	}

	/// Looks that come late by the same span each time, while the clock goes on within them: the bound stretches as
	/// much as is needed, and what is dead is found.
	void aDeadTargetIsFoundByANodeThatIsAlwaysLate()
	{
		clock_.run();
		for (const int64_t gapMicros : {8000, 9100, 9500, 11000, 14000, 20000, 40000, 60000})
		{
			path_->dead.clear();
			b_.load->suspectedUntil = 0;
			for (int step = 0; step < 400; ++step)
			{
				path_->progress = clock_.now();
				lookAfter(gapMicros);
			}
			const Time died = clock_.now();
			while (path_->dead.empty() && clock_.now() < died + Duration::fromMillis(1000))
			{
				lookAfter(gapMicros);
			}
			CPPUNIT_ASSERT_EQUAL_MESSAGE(std::to_string(gapMicros), std::size_t(1), path_->dead.size());
			CPPUNIT_ASSERT_EQUAL(std::string("b"), path_->dead.front());
			path_->dead.clear();
		}
	}

	/// At once, where this node has heard nothing over it for as long as is news.
	void whatOtherNodesAreSureOfIsLeft()
	{
		pass(48);
		a_.load->othersSuspicion = kWeakSuspicion;
		look(8);
		CPPUNIT_ASSERT(path_->dead.empty());
		a_.load->othersSuspicion = kSureSuspicion;
		look(8);
		CPPUNIT_ASSERT((std::vector<std::string>{"a"}) == path_->dead);
		look(8);
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), path_->dead.size()); // told once
	}

	/// The registry showed a later start of the target: the stream is lost there, however soon the target answers.
	void streamsLeaveAStartThatIsOver()
	{
		pass(48);
		b_.load->ended = true;
		look(8);
		CPPUNIT_ASSERT((std::vector<std::string>{"b"}) == path_->dead);
		look(8);
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), path_->dead.size()); // told once
	}

	/// Two targets of a silent path answer at once, and one of them tells another birth than the registry shows. It was
	/// taken as alive, and the stream waited for it until the target that it goes over gave up.
	void anAnswerOfALaterStartIsNoSignOfLife()
	{
		a_.record.born = BirthTime{100};
		b_.record.born = BirthTime{100};
		fallSilent();
		orders_.born = BirthTime{100};
		orders_.answer(true);
		orders_.born = BirthTime{300};
		orders_.answer(true);
		look(8);
		CPPUNIT_ASSERT((std::vector<std::string>{"b"}) == path_->dead);
		CPPUNIT_ASSERT(!a_.load->ended);
		CPPUNIT_ASSERT(b_.load->ended);
		CPPUNIT_ASSERT_EQUAL(0U, b_.load->ownSuspicion(clock_.now())); // it says nothing of the later start
	}

	/// Another request was refused by the target for not holding its part: what ran there before is lost.
	void streamsLeaveWhatRefusesItsPart()
	{
		pass(48);
		b_.load->noteNotHeld(b_.record.layers, clock_.now() + Duration::fromMillis(4500));
		look(8);
		CPPUNIT_ASSERT((std::vector<std::string>{"b"}) == path_->dead);
		CPPUNIT_ASSERT_EQUAL(0U, b_.load->ownSuspicion(clock_.now()));
	}

private:
	/// Lets a look happen after some time on the hand clock.
	void look(int64_t _millis)
	{
		clock_.advance(_millis);
		loop_.restart();
		loop_.run_one();
	}

	/// Lets some time pass, in which `a` answers and `b` does not, and looks.
	void lookAfter(int64_t _micros)
	{
		const Time until{clock_.now().micros + _micros};
		for (std::size_t left = orders_.calls.size(); 0 < left; --left)
		{
			HeldOrders::Question question = std::move(orders_.calls.front());
			orders_.calls.pop_front();
			const bool isA = "a:1" == question.address;
			if (!isA && until < question.endsAt)
			{
				orders_.calls.push_back(std::move(question));
				continue;
			}
			ProbeAnswer answer;
			answer.answered = isA;
			question.call(answer);
		}
		clock_.advanceMicros(until.micros - clock_.now().micros);
		watch_.tick();
	}

	/// Lets time pass as at a node that has the processor whenever a look is due.
	void pass(int64_t _millis)
	{
		constexpr int64_t kLookMs = 8;
		for (int64_t left = _millis; 0 < left; left -= kLookMs)
		{
			look(std::min(kLookMs, left));
		}
	}

	/// Looks until something was asked, at most for 120 ms.
	void fallSilent()
	{
		for (int step = 0; step < 10 && orders_.calls.empty(); ++step)
		{
			look(12);
		}
	}

	boost::asio::io_context loop_;
	HandClock clock_;
	HeldOrders orders_{clock_};
	Metrics metrics_;
	FleetTarget a_ = target("a");
	FleetTarget b_ = target("b");
	std::shared_ptr<HandPath> path_ = std::make_shared<HandPath>();
	PathWatch watch_{loop_, clock_, orders_, metrics_};
};

CPPUNIT_TEST_SUITE_REGISTRATION(PathWatchTest);

} // namespace sedgecart

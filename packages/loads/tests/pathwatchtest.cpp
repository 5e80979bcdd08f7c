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

class ManualClock : public ClockI
{
public:
	Time now() const override
	{
		now_.micros += advancesOnRead_ ? 1 : 0;
		return now_;
	}

	/// Makes time passTime between two readings from now on, as it does within one check.
	void advanceOnRead()
	{
		advancesOnRead_ = true;
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
	bool advancesOnRead_ = false;
};

/// Retains probes until the test answers them.
class DeferredOrders : public RunnerOrdersI
{
public:
	/// A probe without an answer yet.
	struct Probe
	{
		std::string address;
		Time endsAt; //!< When it times out.
		ProbeCallback call;
	};

	explicit DeferredOrders(const ManualClock& _clock) : clock_(_clock)
	{
	}

	void holdLayers(const RunnerRecord&, LayerSpan, Offset, OrderCallback) override
	{
	}

	void probe(const std::string& _address, Duration _bound, ProbeCallback _call) override
	{
		addresses.push_back(_address);
		bounds.push_back(_bound);
		calls.push_back(Probe{_address, clock_.now() + _bound, std::move(_call)});
	}

	void poll(const std::string&, Duration, ProbeCallback) override
	{
	}

	void repath(const std::string&, const std::string&, const std::vector<StageEndpoint>&, RepathCallback) override
	{
	}

	/// Answers the oldest probe.
	void answer(bool _answered, bool _refused = false, bool _cut = false, bool _unasked = false)
	{
		const ProbeCallback call = std::move(calls.front().call);
		calls.pop_front();
		ProbeAnswer answer;
		answer.answered = _answered;
		answer.refused = _refused;
		answer.disconnected = _cut;
		answer.notSent = _unasked;
		answer.startTime = born;
		call(answer);
	}

	StartTime born; //!< Start time that the targets report.
	std::vector<std::string> addresses;
	std::vector<Duration> bounds;
	std::deque<Probe> calls;

private:
	const ManualClock& clock_;
};

/// A path through some targets. The test sets when its last event arrived.
class ManualPath : public WatchedPathI
{
public:
	std::vector<const FleetTarget*> pathTargets() const override
	{
		return targets;
	}
	std::vector<const FleetTarget*> confirmedTargets() const override
	{
		return uncertain ? std::vector<const FleetTarget*>{targets.front()} : targets;
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
			avoidedWhenNotified += 0 < target->load->avoidedUntil.load() ? 1 : 0;
		}
	}

	std::vector<const FleetTarget*> targets;
	bool uncertain = false; //!< Its first target may have switched to others.
	Time progress;
	std::vector<std::string> dead;
	int avoidedWhenNotified = 0; //!< Targets of the path that were already avoided, summed over all calls.
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
	CPPUNIT_TEST(unresponsiveTargetIsDead);
	CPPUNIT_TEST(stalledNodeSuspectsNoTarget);
	CPPUNIT_TEST(allDeadAreAvoidedBeforePathsMove);
	CPPUNIT_TEST(slowPathsAreNotSilent);
	CPPUNIT_TEST(missingAnswerIsWeakSuspicion);
	CPPUNIT_TEST(refusedConnectionIsSureSuspicion);
	CPPUNIT_TEST(nodeThatAllTargetsRefuseSuspectsNone);
	CPPUNIT_TEST(lateCheckVoidsMissingAnswer);
	CPPUNIT_TEST(probeWaitsLongerWithoutCpuTime);
	CPPUNIT_TEST(targetThatClosesConnectionIsAlive);
	CPPUNIT_TEST(nodeThatReceivesNothingReportsNoSuspicion);
	CPPUNIT_TEST(pathWithEventSinceProbeStays);
	CPPUNIT_TEST(eventWithdrawsSuspicion);
	CPPUNIT_TEST(ownEventsOverrideOthersReports);
	CPPUNIT_TEST(uncertainPathConfirmsOnlyItsHead);
	CPPUNIT_TEST(unsentProbeIsNotRepeatedAtEachCheck);
	CPPUNIT_TEST(noSecondProbeWhileOneIsOpen);
	CPPUNIT_TEST(latenessIsForgottenAfterIdleTime);
	CPPUNIT_TEST(alwaysLateNodeDetectsDeadTarget);
	CPPUNIT_TEST(pathsLeaveTargetReportedDead);
	CPPUNIT_TEST(streamsLeaveEndedIncarnation);
	CPPUNIT_TEST(answerOfLaterIncarnationIsNoSignOfLife);
	CPPUNIT_TEST(streamsLeaveTargetThatRefusesItsStage);
	CPPUNIT_TEST_SUITE_END();

public:
	void setUp() override
	{
		path_->targets = {&a_, &b_};
		path_->progress = clock_.now();
		watch_.add(path_);
	}

	void unresponsiveTargetIsDead()
	{
		becomeSilent();
		CPPUNIT_ASSERT_EQUAL(std::size_t(2), orders_.calls.size());
		orders_.answer(true);
		passTime(30);
		orders_.answer(false);
		CPPUNIT_ASSERT((std::vector<std::string>{"b"}) == path_->dead);
	}

	/// This node had no CPU time and detects the timeout of a probe late: the answers may be pending.
	void stalledNodeSuspectsNoTarget()
	{
		becomeSilent();
		clock_.advance(90);
		orders_.answer(false);
		orders_.answer(false);
		CPPUNIT_ASSERT(path_->dead.empty());
		becomeSilent(); // this node is awake again at the first of these checks
		CPPUNIT_ASSERT_EQUAL(std::size_t(2), orders_.calls.size()); // probed again
	}

	/// A path that leaves one dead target must not choose another dead one.
	void allDeadAreAvoidedBeforePathsMove()
	{
		becomeSilent();
		passTime(30);
		orders_.answer(false);
		CPPUNIT_ASSERT(path_->dead.empty()); // the other probe is still open
		orders_.answer(false);
		CPPUNIT_ASSERT_EQUAL(std::size_t(2), path_->dead.size());
		CPPUNIT_ASSERT_EQUAL(4, path_->avoidedWhenNotified);
	}

	/// If events are 60 ms apart, 80 ms without one is not a silence.
	void slowPathsAreNotSilent()
	{
		for (int event = 0; event < 200; ++event)
		{
			watch_.recordGap(Duration::fromMillis(60));
		}
		runCheck(12);
		runCheck(30);
		runCheck(30);
		runCheck(8);
		CPPUNIT_ASSERT(orders_.calls.empty());
	}

	/// The answer may have been lost, or this node may be weak: the layout does not change on its suspicion alone.
	void missingAnswerIsWeakSuspicion()
	{
		becomeSilent();
		orders_.answer(true);
		passTime(30);
		orders_.answer(false);
		CPPUNIT_ASSERT_EQUAL(0U, a_.load->ownSuspicion(clock_.now()));
		CPPUNIT_ASSERT_EQUAL(kWeakSuspicion, b_.load->ownSuspicion(clock_.now()));
		CPPUNIT_ASSERT(!b_.load->isDead(clock_.now()));
		b_.load->remoteSuspicion = kWeakSuspicion;
		CPPUNIT_ASSERT(b_.load->isDead(clock_.now()));
	}

	void refusedConnectionIsSureSuspicion()
	{
		becomeSilent();
		orders_.answer(true);
		constexpr bool kRefused = true;
		orders_.answer(false, kRefused);
		CPPUNIT_ASSERT(b_.load->isDead(clock_.now()));
		CPPUNIT_ASSERT((std::vector<std::string>{"b"}) == path_->dead);
		clock_.advance(5000); // by now its record has expired, or it is alive
		CPPUNIT_ASSERT(!b_.load->isDead(clock_.now()));
	}

	/// All links of this node are cut: other nodes must not be told that its targets have ended.
	void nodeThatAllTargetsRefuseSuspectsNone()
	{
		const FleetTarget third = target("c");
		path_->targets.push_back(&third);
		becomeSilent();
		CPPUNIT_ASSERT_EQUAL(std::size_t(3), orders_.calls.size());
		constexpr bool kRefused = true;
		for (int probe = 0; probe < 3; ++probe)
		{
			orders_.answer(false, kRefused);
		}
		for (const FleetTarget* const target : path_->targets)
		{
			CPPUNIT_ASSERT_EQUAL(0U, target->load->ownSuspicion(clock_.now()));
		}
		CPPUNIT_ASSERT_EQUAL(std::size_t(3), path_->dead.size()); // the path is tried elsewhere nevertheless
	}

	/// The node lacks CPU time while its probe is open: the answer may be pending.
	void lateCheckVoidsMissingAnswer()
	{
		becomeSilent();
		orders_.answer(true);
		runCheck(22); // due after 8 ms
		clock_.advance(8);
		orders_.answer(false);
		CPPUNIT_ASSERT(path_->dead.empty());
		CPPUNIT_ASSERT_EQUAL(0U, b_.load->ownSuspicion(clock_.now()));
	}

	/// Each check is 8 ms late, as with a thread that uses half of a weak CPU: less than any single delay that shows a
	/// stalled node, and yet an answer takes twice its time. The probe waits twice as long, and an answer that arrives
	/// by then counts.
	void probeWaitsLongerWithoutCpuTime()
	{
		for (int step = 0; step < 40 && orders_.calls.empty(); ++step)
		{
			runCheck(16);
		}
		CPPUNIT_ASSERT_EQUAL(std::size_t(2), orders_.calls.size());
		CPPUNIT_ASSERT(50 <= orders_.bounds.front().millis());
		runCheck(16);
		runCheck(16);
		orders_.answer(false); // as after a timeout of 32 ms: this node was awake for only half of it
		orders_.answer(true);
		CPPUNIT_ASSERT(path_->dead.empty());
		CPPUNIT_ASSERT_EQUAL(0U, a_.load->ownSuspicion(clock_.now()));
	}

	/// A target with too many connections closes new ones immediately. It is alive, and streams through it continue.
	void targetThatClosesConnectionIsAlive()
	{
		becomeSilent();
		constexpr bool kCut = true;
		orders_.answer(false, false, kCut);
		orders_.answer(false, false, kCut);
		CPPUNIT_ASSERT(path_->dead.empty());
		CPPUNIT_ASSERT_EQUAL(0U, a_.load->ownSuspicion(clock_.now()));
	}

	/// The node's only probe got no answer and no other stream received an event: the fault may be its own link.
	void nodeThatReceivesNothingReportsNoSuspicion()
	{
		path_->targets = {&a_};
		becomeSilent();
		passTime(30);
		orders_.answer(false);
		CPPUNIT_ASSERT((std::vector<std::string>{"a"}) == path_->dead);
		CPPUNIT_ASSERT_EQUAL(0U, a_.load->ownSuspicion(clock_.now()));
		CPPUNIT_ASSERT(a_.load->avoidedUntil.load() < (clock_.now() + Duration::fromMillis(1000)).micros);
	}

	/// An event that passed through a target since it was probed shows that it is alive, even without an answer.
	void pathWithEventSinceProbeStays()
	{
		becomeSilent();
		passTime(16);
		path_->progress = clock_.now();
		passTime(14);
		orders_.answer(true);
		orders_.answer(false);
		CPPUNIT_ASSERT(path_->dead.empty());
		CPPUNIT_ASSERT_EQUAL(0U, b_.load->ownSuspicion(clock_.now()));
	}

	void eventWithdrawsSuspicion()
	{
		becomeSilent();
		orders_.answer(true);
		passTime(30);
		orders_.answer(false);
		CPPUNIT_ASSERT_EQUAL(kWeakSuspicion, b_.load->ownSuspicion(clock_.now()));
		clock_.advance(1);
		path_->progress = clock_.now();
		runCheck(8);
		CPPUNIT_ASSERT_EQUAL(0U, b_.load->ownSuspicion(clock_.now()));
		CPPUNIT_ASSERT_EQUAL(int64_t(0), b_.load->avoidedUntil.load());
	}

	void ownEventsOverrideOthersReports()
	{
		runCheck(8);
		path_->progress = clock_.now();
		a_.load->remoteSuspicion = kSureSuspicion;
		runCheck(8);
		CPPUNIT_ASSERT(path_->dead.empty());
	}

	/// The answer to an order to change a path was lost, and its stream continues, through either the old stage or the
	/// new one. Other streams that are silent at the old stage must leave it all the same.
	void uncertainPathConfirmsOnlyItsHead()
	{
		path_->uncertain = true;
		const auto other = std::make_shared<ManualPath>();
		other->targets = {&b_};
		other->progress = clock_.now();
		watch_.add(other);
		for (int step = 0; step < 20; ++step)
		{
			path_->progress = clock_.now();
			runCheck(8);
		}
		CPPUNIT_ASSERT((std::vector<std::string>{"b:1"}) == orders_.addresses);
		orders_.answer(false);
		CPPUNIT_ASSERT((std::vector<std::string>{"b"}) == other->dead);
		CPPUNIT_ASSERT(path_->dead.empty());
		CPPUNIT_ASSERT_EQUAL(kWeakSuspicion, b_.load->ownSuspicion(clock_.now()));
	}

	/// Without a file descriptor or a network route a probe is not sent. This says nothing about the target, and a
	/// probe at each check would use up the missing resource.
	void unsentProbeIsNotRepeatedAtEachCheck()
	{
		constexpr bool kUnasked = true;
		for (int step = 0; step < 63; ++step)
		{
			runCheck(8);
			while (!orders_.calls.empty())
			{
				orders_.answer(false, false, false, kUnasked);
			}
		}
		CPPUNIT_ASSERT(std::count(orders_.addresses.begin(), orders_.addresses.end(), "b:1") <= 3);
		CPPUNIT_ASSERT(path_->dead.empty());
	}

	void noSecondProbeWhileOneIsOpen()
	{
		becomeSilent();
		passTime(600);
		CPPUNIT_ASSERT_EQUAL(std::size_t(2), orders_.calls.size());
	}

	void latenessIsForgottenAfterIdleTime()
	{
		for (int step = 0; step < 12; ++step)
		{
			path_->progress = clock_.now();
			runCheck(80);
		}
		path_.reset();
		runCheck(8); // finds no path
		clock_.advance(60000);
		CPPUNIT_ASSERT_EQUAL(int64_t(150), watch_.extendedWait(Duration::fromMillis(150)).millis());
	}

	/// Checks that are late by the same time each, while time passes within them: the timeout of a probe is extended as
	/// much as is needed, and the dead target is detected.
	void alwaysLateNodeDetectsDeadTarget()
	{
		clock_.advanceOnRead();
		for (const int64_t gapMicros : {8000, 9100, 9500, 11000, 14000, 20000, 40000, 60000})
		{
			path_->dead.clear();
			b_.load->suspectedUntil = 0;
			for (int step = 0; step < 400; ++step)
			{
				path_->progress = clock_.now();
				checkAfter(gapMicros);
			}
			const Time died = clock_.now();
			while (path_->dead.empty() && clock_.now() < died + Duration::fromMillis(1000))
			{
				checkAfter(gapMicros);
			}
			CPPUNIT_ASSERT_EQUAL_MESSAGE(std::to_string(gapMicros), std::size_t(1), path_->dead.size());
			CPPUNIT_ASSERT_EQUAL(std::string("b"), path_->dead.front());
			path_->dead.clear();
		}
	}

	/// Paths leave such a target immediately if this node has received no event through it for the minimum silence.
	void pathsLeaveTargetReportedDead()
	{
		passTime(48);
		a_.load->remoteSuspicion = kWeakSuspicion;
		runCheck(8);
		CPPUNIT_ASSERT(path_->dead.empty());
		a_.load->remoteSuspicion = kSureSuspicion;
		runCheck(8);
		CPPUNIT_ASSERT((std::vector<std::string>{"a"}) == path_->dead);
		runCheck(8);
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), path_->dead.size()); // notified once
	}

	/// The registry showed a later incarnation of the target: the stream is lost there, however soon the target
	/// answers.
	void streamsLeaveEndedIncarnation()
	{
		passTime(48);
		b_.load->ended = true;
		runCheck(8);
		CPPUNIT_ASSERT((std::vector<std::string>{"b"}) == path_->dead);
		runCheck(8);
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), path_->dead.size()); // notified once
	}

	/// Two targets of a silent path answer immediately, and one of them reports another start time than the registry
	/// shows. It was taken as alive, and the stream waited for it until the neighbouring target gave up.
	void answerOfLaterIncarnationIsNoSignOfLife()
	{
		a_.record.startTime = StartTime{100};
		b_.record.startTime = StartTime{100};
		becomeSilent();
		orders_.born = StartTime{100};
		orders_.answer(true);
		orders_.born = StartTime{300};
		orders_.answer(true);
		runCheck(8);
		CPPUNIT_ASSERT((std::vector<std::string>{"b"}) == path_->dead);
		CPPUNIT_ASSERT(!a_.load->ended);
		CPPUNIT_ASSERT(b_.load->ended);
		CPPUNIT_ASSERT_EQUAL(0U, b_.load->ownSuspicion(clock_.now())); // the later incarnation is not suspected
	}

	/// The target refused another request because it does not hold its stage: work in progress there is lost.
	void streamsLeaveTargetThatRefusesItsStage()
	{
		passTime(48);
		b_.load->recordMissingLayers(b_.record.layers, clock_.now() + Duration::fromMillis(4500));
		runCheck(8);
		CPPUNIT_ASSERT((std::vector<std::string>{"b"}) == path_->dead);
		CPPUNIT_ASSERT_EQUAL(0U, b_.load->ownSuspicion(clock_.now()));
	}

private:
	/// Advances the manual clock and runs a check.
	void runCheck(int64_t _millis)
	{
		clock_.advance(_millis);
		loop_.restart();
		loop_.run_one();
	}

	/// Advances time, in which `a` answers and `b` does not, and runs a check.
	void checkAfter(int64_t _micros)
	{
		const Time until{clock_.now().micros + _micros};
		for (std::size_t left = orders_.calls.size(); 0 < left; --left)
		{
			DeferredOrders::Probe openProbe = std::move(orders_.calls.front());
			orders_.calls.pop_front();
			const bool isA = "a:1" == openProbe.address;
			if (!isA && until < openProbe.endsAt)
			{
				orders_.calls.push_back(std::move(openProbe));
				continue;
			}
			ProbeAnswer answer;
			answer.answered = isA;
			openProbe.call(answer);
		}
		clock_.advanceMicros(until.micros - clock_.now().micros);
		watch_.tick();
	}

	/// Advances time as on a node that has CPU time whenever a check is due.
	void passTime(int64_t _millis)
	{
		constexpr int64_t kCheckMs = 8;
		for (int64_t left = _millis; 0 < left; left -= kCheckMs)
		{
			runCheck(std::min(kCheckMs, left));
		}
	}

	/// Runs checks until a probe is sent, at most for 120 ms.
	void becomeSilent()
	{
		for (int step = 0; step < 10 && orders_.calls.empty(); ++step)
		{
			runCheck(12);
		}
	}

	boost::asio::io_context loop_;
	ManualClock clock_;
	DeferredOrders orders_{clock_};
	Metrics metrics_;
	FleetTarget a_ = target("a");
	FleetTarget b_ = target("b");
	std::shared_ptr<ManualPath> path_ = std::make_shared<ManualPath>();
	PathWatch watch_{loop_, clock_, orders_, metrics_};
};

CPPUNIT_TEST_SUITE_REGISTRATION(PathWatchTest);

} // namespace sedgecart

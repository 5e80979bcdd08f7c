// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <core/responsetimeestimator.h>
#include <core/stopwindow.h>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <vector>

namespace sedgecart
{

namespace
{

/// Speed of a target.
struct TargetSpeed
{
	Duration firstEvent;
	Duration gap;
};

/// A stream on a target of constant speed.
class SteadyStream
{
public:
	/// @param _maxTokens maximum tokens that its caller states; 0 if it states none.
	SteadyStream(TargetSpeed _speed, uint64_t _events, Time _at, uint32_t _maxTokens = 0)
	    : speed_(_speed),
	      events_(_events),
	      at_(_at),
	      maxTokens_(_maxTokens)
	{
		interval_.start = _at;
		interval_.arrivedAt = _at;
	}

	/// @returns when the event with a number, counted from 0, arrives.
	Time eventAt(uint64_t _number) const
	{
		return at_ + speed_.firstEvent + Duration{static_cast<int64_t>(_number) * speed_.gap.micros};
	}

	Time end() const
	{
		return eventAt(events_ - 1);
	}

	/// Reports the events that have arrived by now.
	void record(ResponseTimeEstimator& _estimator, Time _now)
	{
		const uint64_t before = received_;
		while (received_ < events_ && !(_now < eventAt(received_)))
		{
			++received_;
			_estimator.recordEvents(interval_, received_, eventAt(received_ - 1));
		}
		if (before < received_ && received_ == events_)
		{
			_estimator.recordEnd(interval_, events_, maxTokens_, end());
		}
	}

private:
	TargetSpeed speed_;
	uint64_t events_;
	Time at_;
	uint32_t maxTokens_;
	uint64_t received_ = 0;
	StreamInterval interval_;
};

Time at(int64_t _millis)
{
	return Time{_millis * 1000};
}

Duration millis(int64_t _millis)
{
	return Duration::fromMillis(_millis);
}

/// Reports a number of streams on one target, one after another.
void recordStreams(ResponseTimeEstimator& _estimator, int _streams, TargetSpeed _target, uint64_t _events,
                   uint32_t _maxTokens = 0)
{
	for (int index = 0; index < _streams; ++index)
	{
		SteadyStream stream(_target, _events, at(0), _maxTokens);
		stream.record(_estimator, stream.end());
	}
}

} // namespace

class ResponseTimeEstimatorTest : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(ResponseTimeEstimatorTest);
	CPPUNIT_TEST(initialEstimatesApplyWithoutObservations);
	CPPUNIT_TEST(oneSlowStreamCountsImmediately);
	CPPUNIT_TEST(fastTargetsLowerTheInitialEstimates);
	CPPUNIT_TEST(callsAreEstimatedSeparately);
	CPPUNIT_TEST(oldObservationsAreDiscarded);
	CPPUNIT_TEST(slowStreamsCountAsMuchAsFastOnes);
	CPPUNIT_TEST(typicalEstimateIgnoresAFewSlowStreams);
	CPPUNIT_TEST(typicalEstimateUsesStreamsThatEndEarly);
	CPPUNIT_TEST(shortStreamsAreMeasured);
	CPPUNIT_TEST(aPauseIsAveragedOverAnInterval);
	CPPUNIT_TEST(eventsOfSeveralTokensLowerTheEstimate);
	CPPUNIT_TEST(admittedStreamsEndWithinTheWindow);
	CPPUNIT_TEST(lateRequestsEndInTimeWhateverWasObserved);
	CPPUNIT_TEST_SUITE_END();

public:
	void initialEstimatesApplyWithoutObservations()
	{
		const ResponseTimeEstimator estimator;
		CPPUNIT_ASSERT_EQUAL(int64_t(1500),
		                     estimator.estimate(RequestKind::AtMostOnce, 0, EstimateBound::Cautious).total.millis());
		CPPUNIT_ASSERT_EQUAL(int64_t(600 + 100 * 14),
		                     estimator.estimate(RequestKind::Stream, 100, EstimateBound::Cautious).total.millis());
		CPPUNIT_ASSERT_EQUAL(int64_t(600 + 1000 * 14),
		                     estimator.estimate(RequestKind::Stream, 0, EstimateBound::Cautious).total.millis());
	}

	void oneSlowStreamCountsImmediately()
	{
		ResponseTimeEstimator estimator;
		recordStreams(estimator, 1, TargetSpeed{millis(900), millis(40)}, 100);
		CPPUNIT_ASSERT_EQUAL(int64_t(900 + 100 * 40),
		                     estimator.estimate(RequestKind::Stream, 100, EstimateBound::Cautious).total.millis());
	}

	void fastTargetsLowerTheInitialEstimates()
	{
		ResponseTimeEstimator estimator;
		const TargetSpeed fast{millis(50), millis(5)};
		recordStreams(estimator, 1, fast, 30);
		CPPUNIT_ASSERT_EQUAL(int64_t(600 + 100 * 14),
		                     estimator.estimate(RequestKind::Stream, 100, EstimateBound::Cautious).total.millis());
		recordStreams(estimator, RecentDurations::kMinDurations, fast, 30);
		CPPUNIT_ASSERT_EQUAL(int64_t(50 + 100 * 5),
		                     estimator.estimate(RequestKind::Stream, 100, EstimateBound::Cautious).total.millis());
	}

	void callsAreEstimatedSeparately()
	{
		ResponseTimeEstimator estimator;
		estimator.recordCall(millis(2500));
		CPPUNIT_ASSERT_EQUAL(int64_t(2500),
		                     estimator.estimate(RequestKind::Idempotent, 0, EstimateBound::Cautious).total.millis());
		CPPUNIT_ASSERT_EQUAL(int64_t(600 + 100 * 14),
		                     estimator.estimate(RequestKind::Stream, 100, EstimateBound::Cautious).total.millis());
	}

	void oldObservationsAreDiscarded()
	{
		ResponseTimeEstimator estimator;
		for (std::size_t index = 0; index < 20; ++index)
		{
			estimator.recordCall(millis(5000));
		}
		for (std::size_t index = 0; index < RecentDurations::kMaxDurations; ++index)
		{
			estimator.recordCall(millis(60));
		}
		CPPUNIT_ASSERT_EQUAL(int64_t(60),
		                     estimator.estimate(RequestKind::AtMostOnce, 0, EstimateBound::Cautious).total.millis());
	}

	/// One stream in thirty runs on a target that is eight times slower; by events it is one in two hundred.
	void slowStreamsCountAsMuchAsFastOnes()
	{
		ResponseTimeEstimator estimator;
		std::vector<SteadyStream> streams;
		for (int index = 0; index < 29; ++index)
		{
			streams.emplace_back(TargetSpeed{millis(100), millis(10)}, 600, at(index));
		}
		streams.emplace_back(TargetSpeed{millis(100), millis(80)}, 75, at(0));
		for (int64_t now = 0; now < 5000; ++now)
		{
			for (SteadyStream& stream : streams)
			{
				stream.record(estimator, at(now));
			}
		}
		CPPUNIT_ASSERT(
		    !(estimator.estimate(RequestKind::Stream, 100, EstimateBound::Cautious).total < millis(100 + 100 * 80)));
	}

	void typicalEstimateIgnoresAFewSlowStreams()
	{
		ResponseTimeEstimator estimator;
		recordStreams(estimator, 40, TargetSpeed{millis(100), millis(10)}, 200);
		recordStreams(estimator, 1, TargetSpeed{millis(100), millis(80)}, 200);
		CPPUNIT_ASSERT_EQUAL(int64_t(100 + 100 * 10),
		                     estimator.estimate(RequestKind::Stream, 100, EstimateBound::Typical).total.millis());
	}

	void typicalEstimateUsesStreamsThatEndEarly()
	{
		ResponseTimeEstimator estimator;
		recordStreams(estimator, 40, TargetSpeed{millis(100), millis(10)}, 51);
		CPPUNIT_ASSERT_EQUAL(int64_t(100 + 50 * 10),
		                     estimator.estimate(RequestKind::Stream, 100, EstimateBound::Typical).total.millis());
	}

	void shortStreamsAreMeasured()
	{
		ResponseTimeEstimator estimator;
		recordStreams(estimator, 1, TargetSpeed{millis(100), millis(60)}, 3);
		CPPUNIT_ASSERT_EQUAL(int64_t(600 + 100 * 60),
		                     estimator.estimate(RequestKind::Stream, 100, EstimateBound::Cautious).total.millis());
	}

	void aPauseIsAveragedOverAnInterval()
	{
		ResponseTimeEstimator estimator;
		StreamInterval interval;
		estimator.recordEvents(interval, 1, at(100));
		estimator.recordEvents(interval, 2, at(300));
		estimator.recordEvents(interval, 30, at(600));
		CPPUNIT_ASSERT_EQUAL(int64_t(600 + 100 * 500 / 29),
		                     estimator.estimate(RequestKind::Stream, 100, EstimateBound::Cautious).total.millis());
	}

	/// Each event contains at least two tokens, so that a maximum of 100 tokens is one of 50 events.
	void eventsOfSeveralTokensLowerTheEstimate()
	{
		ResponseTimeEstimator estimator;
		for (uint32_t index = 0; index < RecentMaximum::kGroupSize; ++index)
		{
			StreamInterval interval;
			estimator.recordEvents(interval, 1, at(100));
			estimator.recordEvents(interval, 50, at(100 + 49 * 20));
			estimator.recordEnd(interval, 50, 100, at(100 + 49 * 20));
		}
		CPPUNIT_ASSERT_EQUAL(int64_t(100 + 50 * 20),
		                     estimator.estimate(RequestKind::Stream, 100, EstimateBound::Cautious).total.millis());
	}

	/// Streams run on targets of different constant speeds until the node is stopped; each target has served some of
	/// them. Every stream admitted after the stop signal must end within the stop window, on any target. Lengths and
	/// speeds before and after the signal come from one distribution, so that what a change of them does is not seen.
	void admittedStreamsEndWithinTheWindow()
	{
		CPPUNIT_ASSERT(rc::check("streams admitted during a stop end within its window",
		                         &ResponseTimeEstimatorTest::simulateOnce));
	}

	/// Streams that were short before the stop signal and long and slow after it were cut, and calls likewise.
	void lateRequestsEndInTimeWhateverWasObserved()
	{
		CPPUNIT_ASSERT(rc::check("late requests end within the window although their lengths change",
		                         &ResponseTimeEstimatorTest::simulateChange));
	}

private:
	static void simulateOnce()
	{
		std::vector<TargetSpeed> targets(*rc::gen::inRange<std::size_t>(1, 9));
		for (TargetSpeed& target : targets)
		{
			target.firstEvent = Duration{*rc::gen::inRange<int64_t>(1000, 2000000)};
			target.gap = Duration{*rc::gen::inRange<int64_t>(500, 150000)};
		}
		ResponseTimeEstimator estimator;
		simulateBeforeStop(targets, estimator);
		const StopWindow window(at(kStopAt), millis(*rc::gen::inRange<int64_t>(1000, 30000)));
		const auto callers = *rc::gen::inRange<std::size_t>(1, 40);
		for (std::size_t index = 0; index < callers; ++index)
		{
			const Time now = at(kStopAt + *rc::gen::inRange<int64_t>(0, 3000));
			const auto tokens = *rc::gen::inRange<uint32_t>(1, 1500);
			const Duration estimate = estimator.estimate(RequestKind::Stream, tokens, EstimateBound::Cautious).total;
			if (!(now + estimate < window.deadline()))
			{
				continue;
			}
			const SteadyStream stream(targets[*rc::gen::inRange<std::size_t>(0, targets.size())], tokens, now);
			RC_ASSERT(stream.end() < window.deadline());
		}
	}

	/// Runs streams of random length on all targets in turn until the stop. At least one of each has delivered events.
	static void simulateBeforeStop(const std::vector<TargetSpeed>& _targets, ResponseTimeEstimator& _estimator)
	{
		const auto startInterval = *rc::gen::inRange<int64_t>(20, 400);
		std::vector<SteadyStream> streams;
		for (int64_t startedAt = 0; startedAt < kLastStart; startedAt += startInterval)
		{
			const auto events = *rc::gen::inRange<uint64_t>(2, 300);
			streams.emplace_back(_targets[streams.size() % _targets.size()], events, at(startedAt));
		}
		for (int64_t now = 0; now < kStopAt; now += kRecordInterval)
		{
			for (SteadyStream& stream : streams)
			{
				stream.record(_estimator, at(now));
			}
		}
	}

	/// Streams and calls are short until the stop. Those after it take as long as their callers allow.
	static void simulateChange()
	{
		ResponseTimeEstimator estimator;
		const TargetSpeed before{millis(50), Duration{*rc::gen::inRange<int64_t>(500, 15000)}};
		recordStreams(estimator, 2 * RecentMaximum::kGroupSize, before, *rc::gen::inRange<uint64_t>(2, 41), kMaxTokens);
		for (std::size_t call = 0; call < RecentDurations::kMinDurations; ++call)
		{
			estimator.recordCall(before.gap);
		}
		const TargetSpeed after{millis(50), Duration{before.gap.micros * *rc::gen::inRange<int64_t>(1, 10)}};
		const StopWindow window(at(kStopAt), millis(*rc::gen::inRange<int64_t>(4000, 30000)));
		for (int caller = 0; caller < kLateCallers; ++caller)
		{
			const Time now = at(kStopAt + *rc::gen::inRange<int64_t>(0, 30000));
			const Duration limit = millis(*rc::gen::inRange<int64_t>(1, 60000));
			const bool isStream = *rc::gen::arbitrary<bool>();
			const RequestKind::Enum kind = isStream ? RequestKind::Stream : RequestKind::Idempotent;
			const Duration estimate = estimator.estimate(kind, kMaxTokens, EstimateBound::Typical).total;
			const std::optional<Duration> answerLimit = isStream ? std::nullopt : std::optional<Duration>(limit);
			if (window.callersMayArrive(now) || !isAdmitted(window.decide(answerLimit, estimate, now)))
			{
				continue;
			}
			const Time end = isStream ? SteadyStream(after, kMaxTokens, now).end() : now + limit;
			RC_ASSERT(end < window.deadline());
		}
	}

	static constexpr uint32_t kMaxTokens = 386; //!< Stated by callers in simulateChange.
	static constexpr int kLateCallers = 40;
	static constexpr int64_t kStopAt = 7000;    //!< Milliseconds.
	static constexpr int64_t kLastStart = 4000; //!< So that the slowest has delivered events before the stop.
	static constexpr int64_t kRecordInterval = 10;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ResponseTimeEstimatorTest);

} // namespace sedgecart

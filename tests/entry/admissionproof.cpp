// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

// While capacity is short, a new request of a prioritized service was refused at once, whatever its urgency, and its
// client came back with all others. It must wait in the order of urgency while it can still be in time, and be refused
// as soon as it cannot.

#include "entryharness.h"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace sedgecart
{

namespace
{

using Clock = std::chrono::steady_clock;

/// Objectives of the first event, by urgency.
constexpr std::chrono::milliseconds kUrgentObjective{600};
constexpr std::chrono::milliseconds kOtherObjective{1600};

constexpr std::chrono::milliseconds kMoment{150};

/// Longest Retry-After of a refusal that says nothing of the capacity of other nodes, seconds.
constexpr double kSoon = 0.5;

/// Of each target, as the harness puts it into the registry.
constexpr std::size_t kSlots = 8;

/// The usual state, with a second route of the engine that is less urgent.
EntryHarness::State prioritized()
{
	EntryHarness::State state = EntryHarness::usualState();
	state.routes.pop_back();
	state.routes.pop_back();
	state.routes +=
	    R"(,"urgency":0},)"
	    R"({"name":"batch","host":"h.example","path_prefix":"/batch/","kind":"streaming","timeout_ms":20000,)"
	    R"("full_credit_ms":1600,"gap_aim_ms":200,"resumable":true,"service":"engine","max_attempts":2,)"
	    R"("urgency":2}])";
	const std::string usual = R"("full_credit_ms":500)";
	state.routes.replace(state.routes.find(usual), usual.size(), R"("full_credit_ms":600)");
	return state;
}

TestRequest stream(const std::string& _id, const std::string& _path = "/stream/")
{
	TestRequest made;
	made.path = _path;
	made.id = _id;
	return made;
}

bool isStream(const ServerRequest& _request)
{
	return "/stream/" == _request.head.target || "/batch/" == _request.head.target;
}

/// A target that holds its first streams, those that fill its slots, and completes the later ones.
class FullTarget
{
public:
	explicit FullTarget(EntryHarness& _harness)
	    : target_(
	          _harness.addEngine(LayerSpan{0, 8},
	                             [this](const std::shared_ptr<ServerConnection>& _caller, const ServerRequest& _request)
	                             {
		                             serve(_caller, _request);
	                             }))
	{
	}

	/// Takes all slots.
	void fill(const EntryHarness& _harness)
	{
		while (fillers_.size() < kSlots)
		{
			fillers_.push_back(std::make_unique<TestCaller>(_harness.callerAddress()));
			fillers_.back()->send(textOf(stream("fill" + std::to_string(fillers_.size()))));
			fillers_.back()->receiveUntil(eventText(0));
		}
	}

	/// Frees one slot.
	void endOne()
	{
		target_.post(
		    [this]
		    {
			    held_.back()->finish();
			    held_.pop_back();
		    });
	}

	/// @returns the paths of the streams that came after the slots were filled.
	std::vector<std::string> laterStreams() const
	{
		std::vector<std::string> paths;
		for (const ServerRequest& request : target_.requests())
		{
			if (isStream(request))
			{
				paths.push_back(request.head.target);
			}
		}
		paths.erase(paths.begin(), paths.begin() + kSlots);
		return paths;
	}

private:
	void serve(const std::shared_ptr<ServerConnection>& _caller, const ServerRequest& _request)
	{
		if (!isStream(_request))
		{
			answerWhole(*_caller, _request, 200, "{}");
			return;
		}
		startStream(*_caller, _request, 0, 0);
		if (held_.size() < kSlots && !isFilled_)
		{
			held_.push_back(_caller);
			isFilled_ = kSlots == held_.size();
			return;
		}
		_caller->finish();
	}

	std::vector<std::shared_ptr<ServerConnection>> held_; //!< Used on the target's thread.
	bool isFilled_ = false;                               //!< Likewise.
	std::vector<std::unique_ptr<TestCaller>> fillers_;
	FakeTarget& target_;
};

} // namespace

class AdmissionProof : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(AdmissionProof);
	CPPUNIT_TEST(waitsAndTheMoreUrgentIsSentFirst);
	CPPUNIT_TEST(isRefusedWhenItsSlackEnds);
	CPPUNIT_TEST(isRefusedAtOnceWhenSwitchedOff);
	CPPUNIT_TEST(waitsWhereTargetsTurnItAway);
	CPPUNIT_TEST(stoppingNodeRefusesWhatWaits);
	CPPUNIT_TEST_SUITE_END();

public:
	/// The less urgent request has waited for longer.
	void waitsAndTheMoreUrgentIsSentFirst()
	{
		EntryHarness harness;
		FullTarget target(harness);
		start(harness, target);
		TestCaller batch(harness.callerAddress());
		batch.send(textOf(stream("id1", "/batch/")));
		std::this_thread::sleep_for(kMoment);
		TestCaller urgent(harness.callerAddress());
		urgent.send(textOf(stream("id2")));
		std::this_thread::sleep_for(kMoment);
		CPPUNIT_ASSERT(target.laterStreams().empty());
		target.endOne();
		CPPUNIT_ASSERT_EQUAL(uint16_t(200), urgent.receive().status);
		CPPUNIT_ASSERT_EQUAL(uint16_t(200), batch.receive().status);
		CPPUNIT_ASSERT((std::vector<std::string>{"/stream/", "/batch/"}) == target.laterStreams());
		CPPUNIT_ASSERT(counts(harness, 2, 2, 0));
	}

	/// Another caller leaves while its request waits; it is not sent once a slot is free.
	void isRefusedWhenItsSlackEnds()
	{
		EntryHarness harness;
		FullTarget target(harness);
		start(harness, target);
		TestCaller(harness.callerAddress()).send(textOf(stream("id1", "/batch/")));
		const Clock::time_point from = Clock::now();
		CPPUNIT_ASSERT_EQUAL(uint16_t(429), harness.call(stream("id2")).status);
		CPPUNIT_ASSERT(kUrgentObjective / 2 <= Clock::now() - from);
		CPPUNIT_ASSERT(Clock::now() - from < kUrgentObjective + kMoment); // the queue is looked at every 20 ms
		target.endOne();
		std::this_thread::sleep_for(kMoment);
		CPPUNIT_ASSERT(target.laterStreams().empty());
		CPPUNIT_ASSERT(counts(harness, 2, 0, 1));
	}

	void isRefusedAtOnceWhenSwitchedOff()
	{
		EntryHarness harness;
		std::string unknown;
		CPPUNIT_ASSERT(harness.settings().mechanisms.disable("urgency-admission", unknown));
		FullTarget target(harness);
		start(harness, target);
		const Clock::time_point from = Clock::now();
		CPPUNIT_ASSERT_EQUAL(uint16_t(429), harness.call(stream("id1")).status);
		CPPUNIT_ASSERT(Clock::now() - from < kUrgentObjective / 2);
		CPPUNIT_ASSERT(counts(harness, 0, 0, 0));
	}

	/// Two targets turn each request away for a while: it is sent twice, waits, and is then served.
	void waitsWhereTargetsTurnItAway()
	{
		EntryHarness harness;
		std::atomic<uint32_t> sends{0};
		const TargetScript script =
		    [&sends](const std::shared_ptr<ServerConnection>& _caller, const ServerRequest& _request)
		{
			if (!isStream(_request))
			{
				answerWhole(*_caller, _request, 200, "{}");
				return;
			}
			if (sends.fetch_add(1) < 2)
			{
				answerNotRun(*_caller, _request);
				return;
			}
			startStream(*_caller, _request, 0, 0);
			_caller->finish();
		};
		harness.putWhole(2, prioritized());
		harness.addEngine(LayerSpan{0, 8}, script);
		harness.addEngine(LayerSpan{0, 8}, script);
		harness.start();
		CPPUNIT_ASSERT_EQUAL(uint16_t(200), harness.call(stream("id1")).status);
		CPPUNIT_ASSERT_EQUAL(3U, sends.load());
	}

	/// It was refused as if all nodes lacked capacity, to come back when this node's forecast says so. Another node may
	/// take it at once.
	void stoppingNodeRefusesWhatWaits()
	{
		EntryHarness harness;
		FullTarget target(harness);
		start(harness, target);
		TestCaller caller(harness.callerAddress());
		const Clock::time_point from = Clock::now();
		caller.send(textOf(stream("id1", "/batch/")));
		std::this_thread::sleep_for(kMoment);
		std::thread stopper(
		    [&harness]
		    {
			    harness.stop();
		    });
		const CallerAnswer answer = caller.receive();
		const Clock::duration taken = Clock::now() - from;
		stopper.join();
		CPPUNIT_ASSERT_EQUAL(uint16_t(503), answer.status);
		CPPUNIT_ASSERT(0 < comeBackOf(answer) && comeBackOf(answer) < kSoon);
		CPPUNIT_ASSERT(taken < kOtherObjective / 2);
	}

private:
	static void start(EntryHarness& _harness, FullTarget& _target)
	{
		_harness.putWhole(2, prioritized());
		_harness.start();
		_target.fill(_harness);
	}

	/// @returns true if the node has counted so many waits, admissions after one, and expired waits.
	static bool counts(EntryHarness& _harness, int _waits, int _admitted, int _expired)
	{
		TestCaller asker(_harness.settings().readyAddress);
		asker.send("GET /metrics HTTP/1.1\r\nHost: n1\r\n\r\n");
		const std::string metrics = asker.receive().body;
		const auto has = [&metrics](const std::string& _name, int _value)
		{
			return std::string::npos !=
			       metrics.find("sedgecart_admission_" + _name + "_total " + std::to_string(_value) + '\n');
		};
		return has("waits", _waits) && has("admitted", _admitted) && has("expired", _expired);
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdmissionProof);

} // namespace sedgecart

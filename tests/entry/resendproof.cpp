// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

// How long a node takes from the end of a run to the next send of the same stream. Callers wait meanwhile, and a pause
// of more than 200 ms makes a stream late.

#include "entryharness.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <mutex>
#include <vector>

namespace sedgecart
{

namespace
{

using SteadyClock = std::chrono::steady_clock;
using Micros = std::chrono::microseconds;

/// How the first run of a stream ends.
enum class RunEnd
{
	Reset,     //!< Its connection is reset.
	Close,     //!< The target ends its answer in good order, before its last event.
	Silence,   //!< Nothing more comes, and the target answers no questions.
	Restarted, //!< All its connections end, and nobody listens at its address any more.
};

/// Targets that hold the whole model; the first one that gets the stream ends its run after one event.
class ResendScene
{
public:
	explicit ResendScene(RunEnd _end) : end_(_end)
	{
	}

	void addTo(EntryHarness& _harness)
	{
		harness_ = &_harness;
		for (std::size_t target = 0; target < 2; ++target)
		{
			targets_.push_back(&_harness.addEngine(LayerSpan{0, 8}, script(target)));
		}
	}

	/// Ends the first run in a way that takes more than its connection.
	void endTarget()
	{
		std::size_t first = 0;
		{
			const std::lock_guard<std::mutex> lock(mutex_);
			first = first_;
			endedAt_ = SteadyClock::now();
		}
		stream_.reset();
		harness_->end(*targets_[first]);
	}

	/// @returns the time from the end of the first run to the arrival of the second.
	Micros pause() const
	{
		const std::lock_guard<std::mutex> lock(mutex_);
		return std::chrono::duration_cast<Micros>(resentAt_ - endedAt_);
	}

private:
	TargetScript script(std::size_t _target)
	{
		return [this, _target](const std::shared_ptr<ServerConnection>& _caller, const ServerRequest& _request)
		{
			const std::lock_guard<std::mutex> lock(mutex_);
			if ("/stream/" == _request.head.target)
			{
				serve(_target, _caller, _request);
			}
			else if (RunEnd::Silence != end_ || first_ != _target)
			{
				answerWhole(*_caller, _request, 200, "{}");
			}
		};
	}

	void serve(std::size_t _target, const std::shared_ptr<ServerConnection>& _caller, const ServerRequest& _request)
	{
		if (0 < sends_++)
		{
			resentAt_ = SteadyClock::now();
			startStream(*_caller, _request, 1, 1);
			_caller->finish();
			return;
		}
		first_ = _target;
		startStream(*_caller, _request, 0, 0);
		endedAt_ = SteadyClock::now();
		if (RunEnd::Reset == end_)
		{
			_caller->abort();
		}
		else if (RunEnd::Close == end_)
		{
			_caller->send("id: 1\n"); // within an event
			_caller->finish();
		}
		else
		{
			stream_ = _caller;
		}
	}

	RunEnd end_;
	EntryHarness* harness_ = nullptr;
	std::vector<FakeTarget*> targets_;
	mutable std::mutex mutex_;
	uint32_t sends_ = 0;
	std::size_t first_ = 0;
	std::shared_ptr<ServerConnection> stream_;
	SteadyClock::time_point endedAt_;
	SteadyClock::time_point resentAt_;
};

TestRequest stream()
{
	TestRequest made;
	made.path = "/stream/";
	return made;
}

} // namespace

/// How soon a stream is sent again.
class ResendProof : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(ResendProof);
	CPPUNIT_TEST(afterAReset);
	CPPUNIT_TEST(afterAnOrderlyEnd);
	CPPUNIT_TEST(afterTheEndOfItsTarget);
	CPPUNIT_TEST(afterSilence);
	CPPUNIT_TEST_SUITE_END();

public:
	void afterAReset()
	{
		isSentAgainWithin(RunEnd::Reset, kAtOnce);
	}

	void afterAnOrderlyEnd()
	{
		isSentAgainWithin(RunEnd::Close, kAtOnce);
	}

	void afterTheEndOfItsTarget()
	{
		isSentAgainWithin(RunEnd::Restarted, kAtOnce);
	}

	/// 42 ms until silence is news, 30 ms for a question, and looks each 8 ms.
	void afterSilence()
	{
		isSentAgainWithin(RunEnd::Silence, Micros(130000));
	}

private:
	/// A node that notices an end does nothing before the next send that takes time.
	static constexpr Micros kAtOnce{20000};

	/// The least of some plays counts: a busy machine adds to each, and a wait of the node's own is in all of them.
	static void isSentAgainWithin(RunEnd _end, Micros _bound)
	{
		constexpr int kPlays = 5;
		Micros least = Micros::max();
		for (int play = 0; play < kPlays; ++play)
		{
			least = std::min(least, playOnce(_end));
		}
		CPPUNIT_ASSERT(least < _bound);
	}

	static Micros playOnce(RunEnd _end)
	{
		EntryHarness harness;
		ResendScene scene(_end);
		scene.addTo(harness);
		harness.start();
		TestCaller caller(harness.callerAddress());
		caller.send(textOf(stream()));
		if (RunEnd::Restarted == _end)
		{
			caller.receiveUntil(eventText(0));
			scene.endTarget();
		}
		const CallerAnswer answer = caller.receive();
		CPPUNIT_ASSERT(answer.whole);
		CPPUNIT_ASSERT_EQUAL(eventText(0) + eventText(1), answer.body);
		return scene.pause();
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(ResendProof);

} // namespace sedgecart

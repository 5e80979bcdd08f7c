// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

// The first target of a stream is asked to go on over another part, since the old one seems dead. The suspicion may be
// wrong: the stream goes on over the old part while the answer to the order is late, lost, or says no. What has gone on
// must not be sent elsewhere for it: that takes one of the stream's permitted runs, and a true end of its target is
// then the end of the answer.

#include "entryharness.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <mutex>
#include <thread>
#include <vector>

namespace sedgecart
{

namespace
{

using Millis = std::chrono::milliseconds;

/// From the order until the stream goes on, and between its events: two gaps are well below any silence that is news.
constexpr Millis kGoesOnAfter{60};
constexpr Millis kEventGap{10};

/// The shortest silence that is news to a node (42 ms) is longer.
constexpr Millis kLongestGap{38};

/// From the order until its answer, if one comes: some events come first.
constexpr Millis kAnswerAfter{200};

/// From the order until the first run truly ends: behind the answer, or behind the longest wait for one (1,500 ms).
constexpr Millis kEndsAfterAnswer{500};
constexpr Millis kEndsAfterNone{1900};

/// What becomes of the order to change the path.
struct OrderEnd
{
	uint16_t status = 0; //!< 0: it gets no answer.
	bool namesNewPart = false;
};

/// Of how many runs the one that is asked to change its path is the last.
struct RunsPlan
{
	uint32_t cutBefore = 0; //!< Runs that are cut at once before it.
	bool leaves = false;    //!< Its first target says that it leaves, serves to the end, and ends the answer whole.
};

/// Two targets that begin paths and two that end them. The first run stands still until it is asked to change its path,
/// goes on, and is cut in the end; a second one brings nothing before that, and then the rest.
class ChangeScene
{
public:
	explicit ChangeScene(OrderEnd _end, RunsPlan _plan = RunsPlan{}) : end_(_end), plan_(_plan)
	{
	}

	~ChangeScene()
	{
		if (player_.joinable())
		{
			player_.join();
		}
	}

	void addTo(EntryHarness& _harness)
	{
		constexpr std::size_t kOfEach = 2;
		harness_ = &_harness;
		for (std::size_t target = 0; target < kOfEach; ++target)
		{
			heads_.push_back(&_harness.addEngine(LayerSpan{0, 4}, headScript(target)));
			_harness.addEngine(LayerSpan{4, 8}, partScript());
		}
	}

	uint32_t sends() const
	{
		return sends_.load();
	}

	/// @returns false if the machine was so busy that another case came about: the stream was sent again before anybody
	/// was asked to change its path, or it stood still once more, so that it could be suspected a second time.
	bool came() const
	{
		return !isOther_ && longestGap_ < kLongestGap;
	}

	/// @returns the answer as far as the first run brought it, and its rest.
	std::string expected() const
	{
		std::string text;
		const uint64_t rest = plan_.leaves ? 0 : 1; // of a run behind the one that is cut
		for (uint64_t id = 0; id <= last_.load() + rest; ++id)
		{
			text += eventText(id);
		}
		return text;
	}

private:
	TargetScript headScript(std::size_t _head)
	{
		return [this, _head](const std::shared_ptr<ServerConnection>& _caller, const ServerRequest& _request)
		{
			if ("/stream/" == _request.head.target)
			{
				serve(_head, _caller, _request);
			}
			else if ("/sedgecart/order" == _request.head.target)
			{
				onOrder(_caller, _request);
			}
			else
			{
				answerWhole(*_caller, _request, 200, "{}");
			}
		};
	}

	/// The part that the stream was sent over answers no question.
	TargetScript partScript()
	{
		return [this](const std::shared_ptr<ServerConnection>& _caller, const ServerRequest& _request)
		{
			const std::string* const host = _request.head.headers.find("Host");
			const std::lock_guard<std::mutex> lock(mutex_);
			if (nullptr != host && suspect_ != *host)
			{
				answerWhole(*_caller, _request, 200, "{}");
			}
		};
	}

	void serve(std::size_t _head, const std::shared_ptr<ServerConnection>& _caller, const ServerRequest& _request)
	{
		const uint32_t before = sends_.fetch_add(1);
		if (before < plan_.cutBefore)
		{
			startStream(*_caller, _request, 0, 0);
			_caller->abort();
			return;
		}
		if (plan_.cutBefore < before)
		{
			isOther_ = isOther_ || !ordered_;
			if (ended_)
			{
				startStream(*_caller, _request, last_ + 1, last_ + 1);
				_caller->finish();
			}
			return;
		}
		const std::string path = *_request.head.headers.find("Hop-Count");
		const std::size_t comma = path.find(',');
		const std::lock_guard<std::mutex> lock(mutex_);
		suspect_ = path.substr(comma + 1, path.rfind('=') - comma - 1);
		first_ = _head;
		stream_ = _caller;
		startStream(*_caller, _request, plan_.cutBefore, plan_.cutBefore);
		last_ = plan_.cutBefore;
		if (plan_.leaves)
		{
			harness_->drainEngine(*heads_[_head], LayerSpan{0, 4});
		}
	}

	void onOrder(const std::shared_ptr<ServerConnection>& _caller, const ServerRequest& _request)
	{
		if (ordered_.exchange(true))
		{
			answerOrder(*_caller, _request);
			return;
		}
		player_ = std::thread(
		    [this, _caller, _request]
		    {
			    play(_caller, _request);
		    });
	}

	/// Off the target's thread, which stays free to answer questions.
	void play(const std::shared_ptr<ServerConnection>& _caller, const ServerRequest& _request)
	{
		const auto begin = std::chrono::steady_clock::now();
		const auto answerAt = begin + kAnswerAfter;
		const auto endAt = begin + (0 == end_.status ? kEndsAfterNone : kEndsAfterAnswer);
		bool answered = false;
		std::this_thread::sleep_for(kGoesOnAfter);
		const uint64_t next = last_ + 1;
		for (uint64_t id = next; std::chrono::steady_clock::now() < endAt; ++id)
		{
			if (!answered && answerAt < std::chrono::steady_clock::now())
			{
				answered = true;
				heads_[first_]->post(
				    [this, _caller, _request]
				    {
					    answerOrder(*_caller, _request);
				    });
				std::this_thread::sleep_for(kEventGap); // a send that it sets off arrives before the next event
			}
			heads_[first_]->post(
			    [this, id]
			    {
				    sendEvent(id);
			    });
			std::this_thread::sleep_for(kEventGap);
		}
		heads_[first_]->post(
		    [this]
		    {
			    ended_ = true;
			    plan_.leaves ? stream_->finish() : stream_->abort();
		    });
	}

	void sendEvent(uint64_t _id)
	{
		const auto now = std::chrono::steady_clock::now();
		const bool isFirst = plan_.cutBefore + 1 == _id; // behind the standstill that this is about
		longestGap_ = isFirst ? Millis{0} : std::max(longestGap_, std::chrono::duration_cast<Millis>(now - lastAt_));
		lastAt_ = now;
		stream_->send(eventText(_id));
		last_ = _id;
	}

	void answerOrder(ServerConnection& _caller, const ServerRequest& _request) const
	{
		if (0 == end_.status)
		{
			return;
		}
		const std::size_t comma = _request.body.find(',', _request.body.find("=0-4"));
		const std::size_t equals = _request.body.find('=', comma);
		const std::string part = _request.body.substr(comma + 1, equals - comma - 1);
		answerWhole(_caller, _request, end_.status, end_.namesNewPart ? R"({"address":")" + part + "\"}" : "{}");
	}

	OrderEnd end_;
	RunsPlan plan_;
	EntryHarness* harness_ = nullptr;
	std::vector<FakeTarget*> heads_;
	std::atomic<uint32_t> sends_{0};
	std::atomic<bool> ordered_{false};
	std::atomic<bool> ended_{false};
	std::atomic<bool> isOther_{false};
	std::atomic<uint64_t> last_{0}; //!< Event of the first run.
	std::chrono::steady_clock::time_point lastAt_;
	Millis longestGap_{0}; //!< Between two events of the first run.
	std::mutex mutex_;
	std::string suspect_;
	std::size_t first_ = 0;
	std::shared_ptr<ServerConnection> stream_;
	std::thread player_;
};

TestRequest stream()
{
	TestRequest made;
	made.path = "/stream/";
	return made;
}

} // namespace

/// What a change of path may cost a stream that goes on meanwhile: no run.
class PathChangeProof : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(PathChangeProof);
	CPPUNIT_TEST(aLostAnswerCostsNoRun);
	CPPUNIT_TEST(noSuchRequestCostsNoRun);
	CPPUNIT_TEST(noPartThereCostsNoRun);
	CPPUNIT_TEST(noRoomThereCostsNoRun);
	CPPUNIT_TEST(aRefusedOrderCostsNoRun);
	CPPUNIT_TEST(theLastRunOverALeavingTargetGoesOn);
	CPPUNIT_TEST_SUITE_END();

public:
	void aLostAnswerCostsNoRun()
	{
		endsWhole(OrderEnd{});
	}

	void noSuchRequestCostsNoRun()
	{
		endsWhole(OrderEnd{404, false});
	}

	void noPartThereCostsNoRun()
	{
		endsWhole(OrderEnd{409, true});
	}

	void noRoomThereCostsNoRun()
	{
		endsWhole(OrderEnd{409, false});
	}

	void aRefusedOrderCostsNoRun()
	{
		endsWhole(OrderEnd{400, false});
	}

	/// The stream has used up its runs, its first target leaves, and parts wait: whatever becomes of an order to change
	/// the path, it ends with its target's last event.
	void theLastRunOverALeavingTargetGoesOn()
	{
		constexpr RunsPlan kLast{1, true};
		endsWhole(OrderEnd{}, kLast);
		endsWhole(OrderEnd{404, false}, kLast);
		endsWhole(OrderEnd{409, true}, kLast);
		endsWhole(OrderEnd{409, false}, kLast);
		endsWhole(OrderEnd{400, false}, kLast);
	}

private:
	static void endsWhole(OrderEnd _end, RunsPlan _plan = RunsPlan{})
	{
		constexpr int kTries = 5; // until the case comes about
		bool came = false;
		for (int play = 0; play < kTries && !came; ++play)
		{
			came = endedWhole(_end, _plan);
		}
		CPPUNIT_ASSERT(came);
	}

	/// @returns false if the case did not come about.
	static bool endedWhole(OrderEnd _end, RunsPlan _plan)
	{
		EntryHarness harness;
		ChangeScene scene(_end, _plan);
		scene.addTo(harness);
		harness.start();
		const CallerAnswer answer = harness.call(stream());
		if (!scene.came())
		{
			return false;
		}
		CPPUNIT_ASSERT_EQUAL(2U, scene.sends()); // the second one behind the true end of the first, or its cut
		CPPUNIT_ASSERT_EQUAL(scene.expected(), answer.body);
		CPPUNIT_ASSERT(answer.whole);
		return true;
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(PathChangeProof);

} // namespace sedgecart

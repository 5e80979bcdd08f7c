// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

// Requests that share one prompt part crashed each target that began to answer them. No two were alike, so that none
// was known when it came, and each was sent to two targets.

#include "entryharness.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <future>
#include <map>
#include <mutex>
#include <set>
#include <thread>
#include <utility>
#include <vector>

namespace sedgecart
{

namespace
{

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// How long a target runs a crashing request, and when it is back after the crash.
constexpr milliseconds kRunTime{40};
constexpr milliseconds kRestartTime{300};

/// Time after the fifth crash by which every node must refuse requests with the part.
constexpr milliseconds kKnownTime{3000};

/// Requests with the part that may reach a target later than that.
constexpr std::size_t kMaxLateArrivals = 3;

constexpr milliseconds kLoadTime{9000};
constexpr milliseconds kCallInterval{100};
constexpr uint32_t kTargets = 12;
constexpr std::size_t kCrashes = 5;

/// The prompt of a request: two parts that all requests share, one in the middle, and one of its own.
std::string promptOf(const std::string& _middle, uint32_t _number)
{
	return "Prompt-Prefix: a1:40,b2:100," + _middle + ":200,f" + std::to_string(_number) + ":20";
}

const std::string kCrashingPart = "c0ffee";
const std::string kSoundPart = "50";

bool holdsCrashingPart(const ServerRequest& _request)
{
	const std::string* const prompt = _request.head.headers.find("Prompt-Prefix");
	return nullptr != prompt && std::string::npos != prompt->find(kCrashingPart);
}

TestRequest requestWith(const std::string& _part, uint32_t _number)
{
	TestRequest request;
	request.path = "/stream/";
	request.id = "id" + std::to_string(_number);
	request.body = "question " + std::to_string(_number);
	request.lines = {promptOf(_part, _number)};
	return request;
}

/// How the answer of a crashing target ends.
enum class AnswerEnd
{
	Reset,
	InsideEvent, //!< In good order as far as HTTP shows, inside the first event.
};

/// Targets that hold the whole model and crash when they begin to answer the part. Each comes back as a new instance.
class CrashingTargets
{
public:
	CrashingTargets(EntryHarness& _harness, AnswerEnd _end) : harness_(_harness), end_(_end)
	{
		for (uint32_t target = 0; target < kTargets; ++target)
		{
			add();
		}
		thread_ = std::thread(
		    [this]
		    {
			    runSteps();
		    });
	}

	~CrashingTargets()
	{
		{
			const std::lock_guard<std::mutex> lock(mutex_);
			isOver_ = true;
		}
		changed_.notify_all();
		thread_.join();
	}

	CrashingTargets(const CrashingTargets&) = delete;
	CrashingTargets& operator=(const CrashingTargets&) = delete;

	/// @returns the number of requests with the part that reached a target later than `kKnownTime` after the fifth
	/// crash.
	std::size_t lateArrivals() const
	{
		const std::lock_guard<std::mutex> lock(mutex_);
		if (crashes_.size() < kCrashes)
		{
			return 0;
		}
		const Clock::time_point known = crashes_[kCrashes - 1] + kKnownTime;
		return static_cast<std::size_t>(std::count_if(arrivals_.begin(), arrivals_.end(),
		                                              [known](Clock::time_point _arrival)
		                                              {
			                                              return known < _arrival;
		                                              }));
	}

	std::size_t crashes() const
	{
		const std::lock_guard<std::mutex> lock(mutex_);
		return crashes_.size();
	}

private:
	void add()
	{
		const auto self = std::make_shared<std::atomic<FakeTarget*>>(nullptr);
		FakeTarget& target = harness_.addEngine(
		    LayerSpan{0, 8},
		    [this, self](const std::shared_ptr<ServerConnection>& _caller, const ServerRequest& _request)
		    {
			    serve(self->load(), _caller, _request);
		    });
		self->store(&target);
	}

	void serve(FakeTarget* _self, const std::shared_ptr<ServerConnection>& _caller, const ServerRequest& _request)
	{
		if ("/stream/" != _request.head.target)
		{
			answerWhole(*_caller, _request, 200, "{}");
			return;
		}
		if (!holdsCrashingPart(_request))
		{
			startStream(*_caller, _request, 0, 2);
			_caller->finish();
			return;
		}
		startStream(*_caller, _request, 1, 0); // a head without an event
		const std::lock_guard<std::mutex> lock(mutex_);
		arrivals_.push_back(Clock::now());
		held_[_self].push_back(_caller);
		if (nullptr != _self && crashing_.insert(_self).second)
		{
			steps_.emplace(Clock::now() + kRunTime, _self);
			changed_.notify_all();
		}
	}

	/// Ends answers of a target that is about to crash.
	static void endAnswers(FakeTarget& _target, const std::vector<std::shared_ptr<ServerConnection>>& _callers)
	{
		std::promise<void> done;
		_target.post(
		    [&_callers, &done]
		    {
			    for (const std::shared_ptr<ServerConnection>& caller : _callers)
			    {
				    caller->send("id: 0\nda");
				    caller->finish();
			    }
			    done.set_value();
		    });
		done.get_future().wait();
	}

	void runSteps()
	{
		std::unique_lock<std::mutex> lock(mutex_);
		while (!isOver_)
		{
			if (steps_.empty())
			{
				changed_.wait(lock);
				continue;
			}
			const auto step = *steps_.begin();
			if (Clock::now() < step.first)
			{
				changed_.wait_until(lock, step.first);
				continue;
			}
			steps_.erase(steps_.begin());
			const std::vector<std::shared_ptr<ServerConnection>> callers = std::exchange(held_[step.second], {});
			lock.unlock();
			if (nullptr == step.second)
			{
				add();
			}
			else
			{
				if (AnswerEnd::InsideEvent == end_)
				{
					endAnswers(*step.second, callers);
				}
				harness_.end(*step.second);
			}
			lock.lock();
			if (nullptr != step.second)
			{
				crashing_.erase(step.second);
				crashes_.push_back(Clock::now());
				steps_.emplace(Clock::now() + kRestartTime, nullptr);
			}
		}
		held_.clear();
	}

	EntryHarness& harness_;
	const AnswerEnd end_;
	mutable std::mutex mutex_;
	std::condition_variable changed_;
	std::multimap<Clock::time_point, FakeTarget*> steps_; //!< Target that ends; null: one starts.
	std::set<FakeTarget*> crashing_;
	std::map<FakeTarget*, std::vector<std::shared_ptr<ServerConnection>>> held_;
	std::vector<Clock::time_point> arrivals_;
	std::vector<Clock::time_point> crashes_;
	bool isOver_ = false;
	std::thread thread_;
};

} // namespace

class CrashPartProof : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(CrashPartProof);
	CPPUNIT_TEST(requestsWithACrashingPartStopReachingTargets);
	CPPUNIT_TEST(streamThatEndsInsideAnEventIsALostRun);
	CPPUNIT_TEST(targetThatEndedAStreamInsideAnEventGetsItNoMore);
	CPPUNIT_TEST_SUITE_END();

public:
	void requestsWithACrashingPartStopReachingTargets()
	{
		crashingPartIsBlocked(AnswerEnd::Reset);
	}

	/// The crash was not noticed: neither a reset nor a missing byte showed it.
	void streamThatEndsInsideAnEventIsALostRun()
	{
		crashingPartIsBlocked(AnswerEnd::InsideEvent);
	}

	/// It was not avoided, so that the stream spent its second run there.
	void targetThatEndedAStreamInsideAnEventGetsItNoMore()
	{
		EntryHarness harness;
		std::mutex mutex;
		std::set<std::string> begun;
		const TargetScript script =
		    [&mutex, &begun](const std::shared_ptr<ServerConnection>& _caller, const ServerRequest& _request)
		{
			if ("/stream/" != _request.head.target)
			{
				answerWhole(*_caller, _request, 200, "{}");
				return;
			}
			const std::lock_guard<std::mutex> lock(mutex);
			const bool isFirst = begun.insert(_request.body).second;
			startStream(*_caller, _request, 0, isFirst ? 0 : 2);
			_caller->send(isFirst ? "id: 1\nda" : "");
			_caller->finish();
		};
		const std::vector<const FakeTarget*> targets = {&harness.addEngine(LayerSpan{0, 8}, script),
		                                                &harness.addEngine(LayerSpan{0, 8}, script)};
		harness.start();
		constexpr uint32_t kStreams = 20;
		for (uint32_t number = 0; number < kStreams; ++number)
		{
			harness.call(requestWith(kSoundPart, number));
		}
		for (const FakeTarget* const target : targets)
		{
			std::set<std::string> seen;
			for (const ServerRequest& request : target->requests())
			{
				const bool isStream = "/stream/" == request.head.target;
				CPPUNIT_ASSERT_MESSAGE(request.body, !isStream || seen.insert(request.body).second);
			}
		}
	}

private:
	static void crashingPartIsBlocked(AnswerEnd _end)
	{
		EntryHarness harness;
		CrashingTargets targets(harness, _end);
		harness.start();
		const std::vector<std::string> nodes = {harness.callerAddress(), harness.startMore("n2", "h1"),
		                                        harness.startMore("n3", "h2")};
		const auto end = Clock::now() + kLoadTime;
		CallerAnswer last;
		for (uint32_t number = 0; Clock::now() < end; ++number)
		{
			const std::string& node = nodes[number % nodes.size()];
			EntryHarness::callAt(node, requestWith(kSoundPart, number));
			last = EntryHarness::callAt(node, requestWith(kCrashingPart, number));
			std::this_thread::sleep_for(kCallInterval);
		}
		CPPUNIT_ASSERT(kCrashes - 2 <= targets.crashes());
		CPPUNIT_ASSERT_MESSAGE(std::to_string(targets.lateArrivals()) + " late arrivals",
		                       targets.lateArrivals() <= kMaxLateArrivals);
		CPPUNIT_ASSERT_EQUAL(uint16_t{503}, last.status);
		CPPUNIT_ASSERT(0 < comeBackOf(last));
		for (const std::string& node : nodes)
		{
			CPPUNIT_ASSERT(EntryHarness::callAt(node, requestWith(kSoundPart, 1000000)).whole);
		}
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashPartProof);

} // namespace sedgecart

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

// A node that loses its connections to all targets, while callers, the store and other nodes still reach it, refused
// every request that it read. It has to hand them to a node that reaches the targets.

#include "entryharness.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>
#include <future>
#include <map>
#include <set>
#include <thread>
#include <utility>
#include <vector>

namespace sedgecart
{

namespace
{

using namespace std::chrono_literals;

constexpr std::size_t kPlainTargets = 3;
constexpr std::size_t kEngineTargets = 4;

/// Time after which callers of a node without targets must be served.
constexpr std::chrono::milliseconds kTakeoverTime = 1000ms;

constexpr std::chrono::milliseconds kLoadTime = 3000ms;
constexpr std::chrono::milliseconds kCallInterval = 20ms;

/// Interval at which the connections that are kept serve all calls. At `kCallInterval` new ones are needed.
constexpr std::chrono::milliseconds kRareCallInterval = 250ms;

/// Id of a stream that stands still after two events.
const std::string kSlow = "slow";

/// Beginning of the ids of streams that each target resets.
const std::string kLost = "lost";

/// Number of targets that the route of streams allows for a request.
constexpr uint32_t kMaxRuns = 2;

/// Time that a call takes at a target.
constexpr std::chrono::milliseconds kCallTime = 200ms;

const std::vector<std::string> kPaths = {"/again/", "/stream/", "/plain/"};

std::string idOf(const ServerRequest& _request)
{
	return *_request.head.headers.find("Attempt-Id");
}

bool isCallersRequest(const ServerRequest& _request)
{
	return kPaths.end() != std::find(kPaths.begin(), kPaths.end(), _request.head.target);
}

std::string wholeStream()
{
	return eventText(0) + eventText(1) + eventText(2);
}

TestRequest requestTo(const std::string& _path, const std::string& _id)
{
	TestRequest request;
	request.path = _path;
	request.id = _id;
	request.body = "body of " + _id;
	return request;
}

/// Two nodes in halls of their own and, between the first one and all targets, links that can be cut.
class Scene
{
public:
	Scene()
	{
		for (std::size_t target = 0; target < kPlainTargets; ++target)
		{
			addTarget(false);
		}
		for (std::size_t target = 0; target < kEngineTargets; ++target)
		{
			addTarget(true);
		}
		harness_.addLinks();
	}

	void start()
	{
		harness_.start();
		harness_.startMore("n2", "h2");
		harness_.startMore("n3", "h3");
		while (std::string::npos == harness_.dump().find("\"peers\":2"))
		{
			std::this_thread::sleep_for(kCallInterval);
		}
		CPPUNIT_ASSERT(harness_.callUntil(requestTo("/again/", "first"), 200));
	}

	EntryHarness& harness()
	{
		return harness_;
	}

	/// Calls the first node at a fixed rate, on a new connection each. @returns the number of calls that were not
	/// served.
	std::size_t failuresUnderLoad(const std::string& _name, std::chrono::milliseconds _time,
	                              std::chrono::milliseconds _interval = kCallInterval)
	{
		std::vector<std::future<bool>> calls;
		for (auto sent = 0ms; sent < _time; sent += _interval)
		{
			const std::string& path = kPaths[calls.size() % kPaths.size()];
			const std::string id = _name + std::to_string(calls.size());
			calls.push_back(std::async(std::launch::async,
			                           [this, path, id]
			                           {
				                           return isServed(path, id);
			                           }));
			std::this_thread::sleep_for(_interval);
		}
		return static_cast<std::size_t>(std::count_if(calls.begin(), calls.end(),
		                                              [](std::future<bool>& _call)
		                                              {
			                                              return !_call.get();
		                                              }));
	}

	void endTargets()
	{
		for (FakeTarget* const target : std::exchange(targets_, {}))
		{
			harness_.end(*target);
		}
	}

	/// @returns how often each request of a path reached a target.
	std::map<std::string, uint32_t> runsOf(const std::string& _path) const
	{
		std::map<std::string, uint32_t> runs;
		for (const FakeTarget* const target : targets_)
		{
			for (const ServerRequest& request : target->requests())
			{
				if (_path == request.head.target)
				{
					++runs[idOf(request)];
				}
			}
		}
		return runs;
	}

private:
	void addTarget(bool _hasEngine)
	{
		const std::size_t index = targets_.size();
		const TargetScript script =
		    [this, index](const std::shared_ptr<ServerConnection>& _caller, const ServerRequest& _request)
		{
			serve(*targets_[index], _caller, _request);
		};
		targets_.push_back(_hasEngine ? &harness_.addEngine(LayerSpan{0, 8}, script) : &harness_.addPlain(script));
	}

	static void serve(FakeTarget& _target, const std::shared_ptr<ServerConnection>& _caller,
	                  const ServerRequest& _request)
	{
		if (!isCallersRequest(_request))
		{
			answerWhole(*_caller, _request, 200, "{}");
			return;
		}
		const std::string* const resumeAfter = _request.head.headers.find("Last-Event-Id");
		if (nullptr != resumeAfter)
		{
			startStream(*_caller, _request, std::stoul(*resumeAfter) + 1, 2);
			_caller->finish();
			return;
		}
		if (0 == idOf(_request).rfind(kLost, 0))
		{
			startStream(*_caller, _request, 1, 0); // a head without an event
			_caller->abort();
			return;
		}
		if (kSlow == idOf(_request))
		{
			startStream(*_caller, _request, 0, 1);
			return;
		}
		_target.postAfter(kCallTime,
		                  [_caller, _request]
		                  {
			                  if ("/stream/" != _request.head.target)
			                  {
				                  answerWhole(*_caller, _request, 200, "done");
				                  return;
			                  }
			                  startStream(*_caller, _request, 0, 2);
			                  _caller->finish();
		                  });
	}

	bool isServed(const std::string& _path, const std::string& _id) const
	{
		const CallerAnswer answer = harness_.call(requestTo(_path, _id));
		return 200 == answer.status && answer.whole && ("/stream/" == _path ? wholeStream() : "done") == answer.body;
	}

	std::vector<FakeTarget*> targets_;
	EntryHarness harness_;
};

} // namespace

class TargetCutProof : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(TargetCutProof);
	CPPUNIT_TEST(callersAreServedWhileConnectionsAreRefused);
	CPPUNIT_TEST(callersAreServedWhileConnectionsHang);
	CPPUNIT_TEST(callersAreServedWhileNewConnectionsAreRefused);
	CPPUNIT_TEST(streamGoesOnOverAnotherNode);
	CPPUNIT_TEST(requestIsRefusedAtOnceIfNoNodeReachesATarget);
	CPPUNIT_TEST(requestThatIsHandedOverRunsNoMoreOftenThanItsRouteAllows);
	CPPUNIT_TEST_SUITE_END();

public:
	void callersAreServedWhileConnectionsAreRefused()
	{
		callersAreServedWhile(LinkCut::Refused);
	}

	void callersAreServedWhileConnectionsHang()
	{
		callersAreServedWhile(LinkCut::Hanging);
	}

	void callersAreServedWhileNewConnectionsAreRefused()
	{
		callersAreServedWhile(LinkCut::RefusedNew);
	}

	void streamGoesOnOverAnotherNode()
	{
		Scene scene;
		scene.start();
		TestCaller caller(scene.harness().callerAddress());
		caller.send(textOf(requestTo("/stream/", kSlow)));
		caller.receiveUntil(eventText(1));
		scene.harness().setLinks(LinkCut::Refused);
		const CallerAnswer answer = caller.receive();
		CPPUNIT_ASSERT_EQUAL(wholeStream(), answer.body);
		CPPUNIT_ASSERT(answer.whole);
	}

	void requestIsRefusedAtOnceIfNoNodeReachesATarget()
	{
		Scene scene;
		scene.start();
		scene.endTargets();
		scene.harness().setLinks(LinkCut::Refused);
		CPPUNIT_ASSERT(scene.harness().callUntil(requestTo("/again/", "kept connections"), 503));
		for (const std::string& path : kPaths)
		{
			const auto sentAt = std::chrono::steady_clock::now();
			const CallerAnswer answer = scene.harness().call(requestTo(path, "no target" + path));
			CPPUNIT_ASSERT_EQUAL(uint16_t{503}, answer.status);
			CPPUNIT_ASSERT(0 < comeBackOf(answer));
			CPPUNIT_ASSERT(std::chrono::steady_clock::now() - sentAt < kTakeoverTime);
		}
	}

	/// Its runs are lost at the helper, too.
	void requestThatIsHandedOverRunsNoMoreOftenThanItsRouteAllows()
	{
		Scene scene;
		scene.start();
		scene.harness().setLinks(LinkCut::Refused);
		scene.failuresUnderLoad("takeover", kTakeoverTime);
		constexpr uint32_t kStreams = 10;
		for (uint32_t number = 0; number < kStreams; ++number)
		{
			scene.harness().call(requestTo("/stream/", kLost + std::to_string(number)));
		}
		for (const auto& run : scene.runsOf("/stream/"))
		{
			CPPUNIT_ASSERT_MESSAGE(run.first, run.second <= kMaxRuns);
		}
	}

private:
	static void callersAreServedWhile(LinkCut::Enum _cut)
	{
		Scene scene;
		scene.start();
		CPPUNIT_ASSERT_EQUAL(std::size_t{0}, scene.failuresUnderLoad("before", kLoadTime / 3, kRareCallInterval));
		scene.harness().setLinks(_cut);
		scene.failuresUnderLoad("takeover", kTakeoverTime);
		CPPUNIT_ASSERT_EQUAL(std::size_t{0}, scene.failuresUnderLoad("cut", kLoadTime));
		scene.harness().setLinks(LinkCut::None);
		scene.failuresUnderLoad("return", kTakeoverTime);
		CPPUNIT_ASSERT_EQUAL(std::size_t{0}, scene.failuresUnderLoad("after", kLoadTime / 6));
		for (const auto& call : scene.runsOf("/plain/"))
		{
			CPPUNIT_ASSERT_MESSAGE(call.first, call.second <= 1);
		}
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetCutProof);

} // namespace sedgecart

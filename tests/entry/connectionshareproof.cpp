// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

// A node that gets most callers refused them once its equal part of a target's connections was in use, while the parts
// of the other nodes were free.

#include "entryharness.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>
#include <future>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace sedgecart
{

namespace
{

using namespace std::chrono_literals;

constexpr uint32_t kTargets = 2;
constexpr uint32_t kConnections = 24; // of each target
constexpr std::chrono::milliseconds kCallTime = 1000ms;

/// Calls come at this interval, so that a quarter of the connections is in use. A node's equal part is a sixth.
constexpr std::chrono::milliseconds kCallInterval = kCallTime / (kTargets * kConnections / 4);
constexpr std::size_t kCalls = 60;

/// While the callers move: a node gets nine calls in ten, for two and a half seconds.
constexpr std::size_t kCallsPerNode = 30;
constexpr std::size_t kCallsInRow = 9;
constexpr double kServedPart = 0.95;

const char* const kServices = R"([{"name":"plain","health_path":"/health","max_conns":24},)"
                              R"({"name":"engine","health_path":"/health"}])";

} // namespace

class ConnectionShareProof : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(ConnectionShareProof);
	CPPUNIT_TEST(nodeWithAllCallersIsNotLimitedToItsEqualPart);
	CPPUNIT_TEST(callersThatMoveFromNodeToNodeAreServed);
	CPPUNIT_TEST_SUITE_END();

public:
	/// Six nodes share the connections to each target; all calls arrive at one of the nodes.
	void nodeWithAllCallersIsNotLimitedToItsEqualPart()
	{
		startNodes();
		const std::size_t refused = refusedOf(callAt({nodes_.front()}, kCalls));
		CPPUNIT_ASSERT_MESSAGE(std::to_string(refused) + " calls are refused", 0 == refused);
	}

	/// A balancer sends nearly all callers to one node after another. Connections that a node has borrowed must be free
	/// for the next one: calls are served at least 0.95 as often as while they are spread over all nodes.
	void callersThatMoveFromNodeToNodeAreServed()
	{
		startNodes();
		const std::size_t refusedBefore = refusedOf(callAt(nodes_, kCalls));
		std::vector<std::future<CallerAnswer>> calls;
		for (std::size_t index = 0; index < nodes_.size(); ++index)
		{
			std::vector<std::string> weighted(kCallsInRow, nodes_[index]);
			weighted.push_back(nodes_[(index + 1) % nodes_.size()]);
			for (std::future<CallerAnswer>& call : callAt(weighted, kCallsPerNode))
			{
				calls.push_back(std::move(call));
			}
		}
		const std::size_t all = calls.size();
		const std::size_t refused = refusedOf(std::move(calls));
		const std::string text = std::to_string(refused) + " of " + std::to_string(all) + " calls are refused, " +
		                         std::to_string(refusedBefore) + " of " + std::to_string(kCalls) + " before";
		const double before = 1 - static_cast<double>(refusedBefore) / kCalls;
		const double served = 1 - static_cast<double>(refused) / static_cast<double>(all);
		CPPUNIT_ASSERT_MESSAGE(text, kServedPart * before <= served);
	}

private:
	void startNodes()
	{
		for (uint32_t target = 0; target < kTargets; ++target)
		{
			targets_.push_back(&harness_.addPlain(
			    [this, target](const std::shared_ptr<ServerConnection>& _caller, const ServerRequest& _request)
			    {
				    answerLate(*targets_[target], _caller, _request);
			    }));
		}
		EntryHarness::State state = EntryHarness::usualState();
		state.services = kServices;
		harness_.putWhole(2, state);
		harness_.start();
		nodes_.push_back(harness_.callerAddress());
		for (const char* const name : {"n2", "n3", "n4", "n5", "n6"})
		{
			nodes_.push_back(harness_.startMore(name, "h1"));
		}
		while (std::string::npos == harness_.dump().find("\"peers\":5"))
		{
			std::this_thread::sleep_for(10ms);
		}
		for (const std::string& node : nodes_)
		{
			CPPUNIT_ASSERT(EntryHarness::callUntilAt(node, TestRequest(), 200));
		}
	}

	static void answerLate(FakeTarget& _target, const std::shared_ptr<ServerConnection>& _caller,
	                       const ServerRequest& _request)
	{
		const bool isCall = "/plain/" == _request.head.target;
		_target.postAfter(isCall ? kCallTime : 0ms,
		                  [_caller, _request]
		                  {
			                  answerWhole(*_caller, _request, 200, "done");
		                  });
	}

	/// Calls the nodes in turn, at a fixed rate.
	std::vector<std::future<CallerAnswer>> callAt(const std::vector<std::string>& _nodes, std::size_t _calls)
	{
		std::vector<std::future<CallerAnswer>> calls;
		for (std::size_t call = 0; call < _calls; ++call)
		{
			TestRequest request;
			request.id = "c" + std::to_string(++callNumber_);
			request.body = request.id;
			const std::string& node = _nodes[call % _nodes.size()];
			calls.push_back(std::async(std::launch::async,
			                           [node, request]
			                           {
				                           return EntryHarness::callAt(node, request);
			                           }));
			std::this_thread::sleep_for(kCallInterval);
		}
		return calls;
	}

	static std::size_t refusedOf(std::vector<std::future<CallerAnswer>> _calls)
	{
		return static_cast<std::size_t>(std::count_if(_calls.begin(), _calls.end(),
		                                              [](std::future<CallerAnswer>& _call)
		                                              {
			                                              return 200 != _call.get().status;
		                                              }));
	}

	std::vector<FakeTarget*> targets_;
	std::vector<std::string> nodes_; //!< Addresses for callers.
	std::size_t callNumber_ = 0;
	EntryHarness harness_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConnectionShareProof);

} // namespace sedgecart

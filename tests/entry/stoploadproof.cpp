// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "entryharness.h"

#include <cppunit/extensions/HelperMacros.h>
#include <harness/plaincaller.h>

#include <atomic>
#include <chrono>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace sedgecart
{

namespace
{

using Millis = std::chrono::milliseconds;

/// Nodes that stop at the same time, each with a target and callers of its own, and how often that is done: a stop
/// takes seconds, and what goes wrong at its end does so by chance.
constexpr std::size_t kNodes = 10;
constexpr int kRounds = 3;

constexpr std::size_t kCallers = 3; //!< Of a node.

/// Time that a target takes for a request, and pause of a caller after an answer: a node is often without requests, but
/// never for long.
constexpr Millis kWork{2};
constexpr Millis kPause{2};

constexpr Millis kBeforeStop{200};

PlainCaller::Tcp::endpoint endpointOf(const std::string& _address)
{
	const std::size_t colon = _address.rfind(':');
	return PlainCaller::Tcp::endpoint(boost::asio::ip::make_address(_address.substr(0, colon)),
	                                  static_cast<uint16_t>(std::stoul(_address.substr(colon + 1))));
}

/// One node that stops under load.
class StoppingNode
{
public:
	StoppingNode()
	    : target_(harness_.addPlain(
	          [this](const std::shared_ptr<ServerConnection>& _caller, const ServerRequest& _request)
	          {
		          target_.postAfter(kWork,
		                            [_caller, _request]
		                            {
			                            answerWhole(*_caller, _request, 200, _request.body);
		                            });
	          }))
	{
		harness_.start();
	}

	/// Stops the node while its callers go on until it is gone.
	void stopUnderLoad()
	{
		std::vector<std::thread> callers;
		for (std::size_t caller = 0; caller < kCallers; ++caller)
		{
			callers.emplace_back(
			    [this, caller]
			    {
				    callUntilGone('c' + std::to_string(caller) + '-');
			    });
		}
		std::this_thread::sleep_for(kBeforeStop);
		harness_.stop();
		isGone_ = true;
		for (std::thread& caller : callers)
		{
			caller.join();
		}
	}

	/// @returns requests that the target ran and whose caller got no answer.
	std::size_t lost() const
	{
		std::size_t count = 0;
		for (const ServerRequest& request : target_.requests())
		{
			const std::string* const id = request.head.headers.find("Attempt-Id");
			count += nullptr != id && 0 == answered_.count(*id) ? 1 : 0;
		}
		return count;
	}

	std::size_t answered() const
	{
		return answered_.size();
	}

private:
	void callUntilGone(const std::string& _prefix)
	{
		for (uint32_t number = 0; !isGone_; ++number)
		{
			TestRequest request;
			request.id = _prefix + std::to_string(number);
			if (isAnswered(request))
			{
				const std::lock_guard<std::mutex> lock(mutex_);
				answered_.insert(request.id);
			}
			std::this_thread::sleep_for(kPause);
		}
	}

	bool isAnswered(const TestRequest& _request) const
	{
		try
		{
			PlainCaller caller(endpointOf(harness_.callerAddress()));
			caller.send(textOf(_request));
			return 0 == caller.receive(_request.body).find("HTTP/1.1 200");
		}
		catch (const boost::system::system_error&)
		{
			return false; // the node has closed its server
		}
	}

	EntryHarness harness_;
	FakeTarget& target_;
	std::mutex mutex_;
	std::set<std::string> answered_; //!< Ids of requests.
	std::atomic<bool> isGone_{false};
};

} // namespace

/// Nodes stop while callers send one short request after the other.
class StopLoadProof : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(StopLoadProof);
	CPPUNIT_TEST(requestsReadAtTheEndOfAStopAreAnswered);
	CPPUNIT_TEST_SUITE_END();

public:
	/// Guards against requests that are passed to a target after the last look for unfinished ones, and get no answer.
	void requestsReadAtTheEndOfAStopAreAnswered()
	{
		std::size_t lost = 0;
		for (int round = 0; round < kRounds; ++round)
		{
			lost += lostByStops();
		}
		CPPUNIT_ASSERT_EQUAL(std::size_t(0), lost);
	}

private:
	/// Stops some nodes at the same time.
	/// @returns requests that a target ran and whose caller got no answer.
	static std::size_t lostByStops()
	{
		std::vector<std::unique_ptr<StoppingNode>> nodes;
		for (std::size_t node = 0; node < kNodes; ++node)
		{
			nodes.push_back(std::make_unique<StoppingNode>());
		}
		std::vector<std::thread> stops;
		for (const auto& node : nodes)
		{
			stops.emplace_back(
			    [&node]
			    {
				    node->stopUnderLoad();
			    });
		}
		for (std::thread& stop : stops)
		{
			stop.join();
		}
		std::size_t lost = 0;
		for (const auto& node : nodes)
		{
			lost += node->lost();
			CPPUNIT_ASSERT(0 < node->answered());
		}
		return lost;
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(StopLoadProof);

} // namespace sedgecart

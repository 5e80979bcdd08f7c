// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "stopsite.h"

#include "entryharness.h"
#include "nodeprocess.h"
#include "pacedstreams.h"
#include "stoprequest.h"

#include <boost/system/system_error.hpp>

#include <chrono>
#include <thread>

namespace sedgecart
{

namespace
{

using Millis = std::chrono::milliseconds;

constexpr int kStreamTargets = 4;
constexpr int kCallTargets = 2;

constexpr uint64_t kShortEvents = 40;
constexpr Millis kPaceBefore{4};
constexpr Millis kPaceAfter{31};
constexpr Millis kWorkBefore{15};
constexpr Millis kWorkAfter{3000};

constexpr int kCallersBefore = 10;  //!< At each node.
constexpr int kRequestsBefore = 40; //!< Of each caller, half of them streams.

constexpr std::chrono::seconds kFarTooLong{30};
constexpr Millis kLookAgain{20};

/// @returns requests that were not served.
uint32_t answerOneAfterTheOther(const std::string& _node, const std::string& _caller)
{
	uint32_t served = 0;
	try
	{
		TestCaller caller(_node);
		for (int number = 0; number < kRequestsBefore; ++number)
		{
			StopRequest request;
			request.id = _caller + '-' + std::to_string(number);
			request.isStream = 0 == number % 2;
			caller.send(request.text());
			const CallerAnswer answer = caller.receive();
			served += answer.whole && 200 == answer.status ? 1 : 0;
		}
	}
	catch (const boost::system::system_error&)
	{
		// What is left was not served.
	}
	return kRequestsBefore - served;
}

} // namespace

StopSite::StopSite(std::size_t _nodes, const std::string& _folder) : httpStore_(store_), work_(kWorkBefore)
{
	const EntryHarness::State state = EntryHarness::usualState();
	store_.put(KeyedTopic::Operator, "config",
	           R"({"version":1,"routes":)" + state.routes + R"(,"services":)" + state.services +
	               R"(,"tenants":[{"name":"bank","api_keys":["k1"]}],)" +
	               R"("limits":{"max_header_bytes":16384,"max_body_bytes":1000000,"header_timeout_ms":10000,)" +
	               R"("idle_timeout_ms":60000}})");
	for (int index = 0; index < kStreamTargets; ++index)
	{
		addStreamTarget();
	}
	for (int index = 0; index < kCallTargets; ++index)
	{
		addCallTarget();
	}
	for (std::size_t index = 0; index < _nodes; ++index)
	{
		nodes_.push_back(std::make_unique<NodeProcess>("n" + std::to_string(index + 1), _folder, httpStore_.address()));
	}
}

StopSite::~StopSite()
{
	nodes_.clear();
	targets_.clear();
}

void StopSite::start()
{
	for (const auto& node : nodes_)
	{
		node->start();
	}
}

bool StopSite::awaitReady() const
{
	const auto end = std::chrono::steady_clock::now() + kFarTooLong;
	while (!isReady() && std::chrono::steady_clock::now() < end)
	{
		std::this_thread::sleep_for(kLookAgain);
	}
	return isReady();
}

bool StopSite::isReady() const
{
	for (const auto& node : nodes_)
	{
		if (!node->isReady())
		{
			return false;
		}
	}
	return true;
}

uint32_t StopSite::answerBefore()
{
	std::atomic<uint32_t> notServed{0};
	std::vector<std::thread> callers;
	for (const auto& node : nodes_)
	{
		for (int caller = 0; caller < kCallersBefore; ++caller)
		{
			callers.emplace_back(
			    [&notServed, address = node->callerAddress(), id = "before" + std::to_string(callers.size())]
			    {
				    notServed += answerOneAfterTheOther(address, id);
			    });
		}
	}
	for (std::thread& caller : callers)
	{
		caller.join();
	}
	return notServed;
}

void StopSite::slowDown()
{
	work_ = kWorkAfter;
	for (const auto& streams : streams_)
	{
		streams->setAnswer(0, kPaceAfter);
	}
}

bool StopSite::hasRun(const std::string& _id) const
{
	const std::lock_guard<std::mutex> lock(mutex_);
	return 0 < run_.count(_id);
}

void StopSite::addCallTarget()
{
	const auto self = std::make_shared<FakeTarget*>(nullptr);
	targets_.push_back(std::make_unique<FakeTarget>(
	    [this, self](const std::shared_ptr<ServerConnection>& _caller, const ServerRequest& _request)
	    {
		    if ("/plain/" != _request.head.target)
		    {
			    answerWhole(*_caller, _request, 200, "{}"); // a report
			    return;
		    }
		    noteRun(_request);
		    (*self)->postAfter(work_,
		                       [_caller, _request]
		                       {
			                       answerWhole(*_caller, _request, 200, _request.body);
		                       });
	    }));
	*self = targets_.back().get();
	putTarget("plain", R"({"from":0,"target_version":0})");
}

void StopSite::addStreamTarget()
{
	streams_.push_back(std::make_unique<PacedStreams>(kPaceBefore));
	streams_.back()->setAnswer(kShortEvents, kPaceBefore);
	targets_.push_back(std::make_unique<FakeTarget>(
	    [this, script = streams_.back()->script()](const std::shared_ptr<ServerConnection>& _caller,
	                                               const ServerRequest& _request)
	    {
		    noteRun(_request);
		    script(_caller, _request);
	    }));
	streams_.back()->serveOn(*targets_.back());
	putTarget("engine", R"({"from":0,"target_version":8})");
}

/// Enters the newest target in the registry.
void StopSite::putTarget(const std::string& _service, const std::string& _layers)
{
	const FakeTarget& target = *targets_.back();
	store_.put(KeyedTopic::Runners, EntryHarness::instanceOf(target),
	           R"({"service":")" + _service + R"(","address":")" + target.address() +
	               R"(","zone":"h1","slot_count":64,"kind":"card","state":"ready","layers":)" + _layers + '}');
}

void StopSite::noteRun(const ServerRequest& _request)
{
	const std::string* const id = _request.head.headers.find("Attempt-Id");
	if (nullptr != id)
	{
		const std::lock_guard<std::mutex> lock(mutex_);
		run_.insert(*id);
	}
}

} // namespace sedgecart

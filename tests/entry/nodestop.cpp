// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "nodestop.h"

#include "entryharness.h"
#include "nodeprocess.h"
#include "stopsite.h"

#include <boost/system/system_error.hpp>

#include <algorithm>
#include <csignal>

namespace sedgecart
{

namespace
{

using Millis = std::chrono::milliseconds;

/// Bound of a stop, as the platform has it: then it kills the process.
constexpr Millis kKillAfter{8000};

/// Moments at which connections were used in the incident.
constexpr Millis kKnownMoments[] = {Millis(3200), Millis(3750), Millis(4300), Millis(5100), Millis(5900)};

constexpr int kRandomMoments = 4; //!< Late ones more, of each kind.
constexpr int64_t kFirstLateMs = 3050;
constexpr int64_t kLastLateMs = 7600;

constexpr int kEarlyMoments = 4;
constexpr int64_t kLastEarlyMs = 2900;

/// A caller that sends in parts has sent its head by then: its connection is not at rest when those at rest are closed.
constexpr int64_t kLastHeadMs = 2600;

constexpr int kBusyCallers = 2; //!< Of each kind.

/// What callers of late requests are ready to wait.
constexpr Millis kBudgets[] = {Millis(20000), Millis(20000), Millis(3000), Millis(1500)};

Millis millisOf(std::chrono::steady_clock::duration _duration)
{
	return std::chrono::duration_cast<Millis>(_duration);
}

} // namespace

NodeStop::NodeStop(StopSite& _site, std::size_t _node, Clock::time_point _termAt, bool _isDisturbed, uint64_t _seed,
                   StopTally& _tally)
    : site_(_site),
      node_(_site.node(_node)),
      termAt_(_termAt),
      random_(_seed),
      tally_(_tally),
      name_("s" + std::to_string(_seed) + "-n" + std::to_string(_node + 1) + '-')
{
	signals_.push_back(Signal{termAt_, SIGTERM});
	if (_isDisturbed)
	{
		signals_.push_back(Signal{termAt_ + randomTime(-300, kLastLateMs), SIGHUP});
		signals_.push_back(Signal{termAt_ + randomTime(1, kLastLateMs), SIGTERM});
	}
	std::sort(signals_.begin(), signals_.end(),
	          [](const Signal& _one, const Signal& _other)
	          {
		          return _other.at < _one.at;
	          });
	addCallers();
}

NodeStop::~NodeStop()
{
	for (std::thread& caller : callers_)
	{
		caller.join();
	}
}

bool NodeStop::play()
{
	if (hasEnded_)
	{
		return true;
	}
	const Clock::time_point signalledAt = signalledAt_;
	const Clock::time_point now = Clock::now();
	if (Clock::time_point{} != signalledAt && node_.hasEnded())
	{
		tally_.addEnd(millisOf(now - signalledAt), millisOf(signalledAt - termAt_), isKilled_);
		hasEnded_ = true;
		return true;
	}
	if (Clock::time_point{} != signalledAt && signalledAt + kKillAfter <= now && !isKilled_)
	{
		isKilled_ = true;
		node_.signal(SIGKILL);
	}
	while (!signals_.empty() && signals_.back().at <= now)
	{
		send(signals_.back().number);
		signals_.pop_back();
	}
	return false;
}

void NodeStop::send(int _signal)
{
	if (SIGTERM == _signal && Clock::time_point{} == signalledAt_.load())
	{
		signalledAt_ = Clock::now();
	}
	node_.signal(_signal);
}

void NodeStop::addCallers()
{
	for (const bool isStream : {true, false})
	{
		std::vector<Millis> moments(std::begin(kKnownMoments), std::end(kKnownMoments));
		for (int more = 0; more < kRandomMoments; ++more)
		{
			moments.push_back(randomTime(kFirstLateMs, kLastLateMs));
		}
		for (const Millis moment : moments)
		{
			addTimed(isStream, moment, false, kBudgets[random_() % std::size(kBudgets)]);
			addTimed(isStream, moment, true, kBudgets[random_() % std::size(kBudgets)]);
		}
		for (int early = 0; early < kEarlyMoments; ++early)
		{
			addTimed(isStream, randomTime(1, kLastEarlyMs), false, kBudgets[0]);
		}
		for (int busy = 0; busy < kBusyCallers; ++busy)
		{
			addBusy(isStream);
		}
	}
}

void NodeStop::addTimed(bool _isStream, Millis _at, bool _isInParts, Millis _budget)
{
	StopRequest request;
	request.id = nextId(_isInParts ? "parts" : "resting");
	request.isStream = _isStream;
	request.budget = _budget;
	const Clock::time_point at = termAt_ + _at;
	const Clock::time_point beginAt = _isInParts ? termAt_ + randomTime(1, kLastHeadMs) : at;
	callers_.emplace_back(
	    [this, request, at, beginAt]
	    {
		    runTimed(request, at, beginAt);
	    });
}

void NodeStop::addBusy(bool _isStream)
{
	StopRequest request;
	request.id = nextId("busy");
	request.isStream = _isStream;
	callers_.emplace_back(
	    [this, request]
	    {
		    runBusy(request);
	    });
}

void NodeStop::runTimed(const StopRequest& _request, Clock::time_point _at, Clock::time_point _beginAt)
{
	StopAnswer answer;
	try
	{
		TestCaller caller(node_.callerAddress());
		const std::string text = _request.text();
		const std::size_t first = _beginAt < _at ? text.size() / 2 : 0;
		std::this_thread::sleep_until(_beginAt);
		caller.send(text.substr(0, first));
		std::this_thread::sleep_until(_at);
		answer = sendRest(caller, _request, text.substr(first), site_);
	}
	catch (const boost::system::system_error&)
	{
		// The connection was not made, or closed before the request was sent whole.
		answer.sentAt = Clock::now();
	}
	count(answer, _request);
}

/// Sends one request after the other until the node closes the connection.
void NodeStop::runBusy(StopRequest _request)
{
	const std::string id = _request.id;
	bool mayReuse = true;
	try
	{
		TestCaller caller(node_.callerAddress());
		for (int number = 0; mayReuse; ++number)
		{
			_request.id = id + '-' + std::to_string(number);
			const StopAnswer answer = sendRest(caller, _request, _request.text(), site_);
			mayReuse = answer.mayReuse;
			count(answer, _request);
		}
	}
	catch (const boost::system::system_error&)
	{
		StopAnswer notSent;
		notSent.sentAt = Clock::now();
		count(notSent, _request);
	}
}

void NodeStop::count(const StopAnswer& _answer, const StopRequest& _request)
{
	const Clock::time_point signalledAt = signalledAt_;
	const bool isBefore = Clock::time_point{} == signalledAt;
	tally_.add(_answer, _request, isBefore ? Millis(-1) : millisOf(_answer.sentAt - signalledAt));
}

Millis NodeStop::randomTime(int64_t _from, int64_t _to)
{
	return Millis(std::uniform_int_distribution<int64_t>(_from, _to)(random_));
}

std::string NodeStop::nextId(const char* _kind)
{
	return name_ + _kind + std::to_string(callers_.size());
}

} // namespace sedgecart

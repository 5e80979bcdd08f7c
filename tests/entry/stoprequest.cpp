// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "stoprequest.h"

#include "entryharness.h"
#include "stopsite.h"

#include <boost/system/system_error.hpp>

#include <thread>

namespace sedgecart
{

namespace
{

using Clock = std::chrono::steady_clock;

/// A request that no target was sent and whose connection ends within this time crossed the close.
constexpr std::chrono::milliseconds kCrossing{200};

/// Time in which a target has read what a node sent it.
constexpr std::chrono::milliseconds kTargetTime{50};

constexpr uint64_t kMaxTokens = 386; //!< Of every stream.

constexpr const char* kNames[] = {"not sent",    "served",        "refused", "failed",
                                  "out of time", "closed unread", "held",    "cut"};
static_assert(StopOutcome::Count == std::size(kNames), "each outcome needs its name");

bool isPromise(uint16_t _status)
{
	return 503 == _status || 429 == _status || 421 == _status || 408 == _status;
}

StopOutcome::Enum outcomeOf(const CallerAnswer& _answer, bool _hasRun, Clock::duration _took,
                            std::chrono::milliseconds _budget)
{
	if (_answer.whole)
	{
		const StopOutcome::Enum other = isPromise(_answer.status) ? StopOutcome::Refused : StopOutcome::Failed;
		return 200 == _answer.status ? StopOutcome::Served : other;
	}
	if (_budget <= _took)
	{
		return StopOutcome::OutOfTime;
	}
	if (_hasRun)
	{
		return StopOutcome::Cut;
	}
	return _took < kCrossing ? StopOutcome::Unread : StopOutcome::Held;
}

} // namespace

const char* nameOf(StopOutcome::Enum _outcome)
{
	return kNames[_outcome];
}

std::string StopRequest::text() const
{
	TestRequest made;
	made.id = id;
	made.budget = budget;
	if (isStream)
	{
		made.path = "/stream/";
		made.lines.push_back("Token-Counts: 10," + std::to_string(kMaxTokens));
	}
	return textOf(made);
}

StopAnswer sendRest(TestCaller& _caller, const StopRequest& _request, const std::string& _text, const StopSite& _site)
{
	StopAnswer got;
	got.sentAt = Clock::now();
	if (_caller.isClosedByNode())
	{
		return got;
	}
	CallerAnswer answer;
	try
	{
		_caller.send(_text);
		answer = _caller.receive();
	}
	catch (const boost::system::system_error&)
	{
		// Closed while it was sent.
	}
	const Clock::duration took = Clock::now() - got.sentAt;
	if (!answer.whole)
	{
		std::this_thread::sleep_for(kTargetTime);
	}
	const bool hasRun = _site.hasRun(_request.id);
	got.outcome = outcomeOf(answer, hasRun, took, _request.budget);
	got.isPromiseBroken = StopOutcome::Refused == got.outcome && hasRun && !_request.isStream;
	const std::string* const connection = answer.headers.find("Connection");
	got.mayReuse = answer.whole && (nullptr == connection || "close" != *connection);
	return got;
}

} // namespace sedgecart

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "stoptally.h"

#include <algorithm>

namespace sedgecart
{

namespace
{

/// A request sent later than this after SIGTERM may not be left without a whole answer.
constexpr std::chrono::milliseconds kLateAfter{3000};

} // namespace

void StopTally::add(const StopAnswer& _answer, const StopRequest& _request, std::chrono::milliseconds _sentAfter)
{
	const std::lock_guard<std::mutex> lock(mutex_);
	const bool isLate = kLateAfter < _sentAfter;
	Counts& upToLate = _sentAfter.count() < 0 ? before_ : early_;
	++(isLate ? late_ : upToLate)[_answer.outcome];
	brokenPromises_ += _answer.isPromiseBroken ? 1 : 0;
	const bool isUnanswered = StopOutcome::Cut == _answer.outcome || StopOutcome::Held == _answer.outcome;
	const bool isFault = _answer.isPromiseBroken || (isLate && isUnanswered) || StopOutcome::Unread == _answer.outcome;
	if (isFault)
	{
		faults_.push_back(_request.id + " budget " + std::to_string(_request.budget.count()) + " ms, sent at " +
		                  std::to_string(_sentAfter.count()) + " ms: " + nameOf(_answer.outcome) +
		                  (_answer.isPromiseBroken ? ", but has run" : ""));
	}
}

void StopTally::addEnd(std::chrono::milliseconds _took, std::chrono::milliseconds _delay, bool _wasKilled)
{
	const std::lock_guard<std::mutex> lock(mutex_);
	++stops_;
	killed_ += _wasKilled ? 1 : 0;
	longest_ = std::max(longest_, _took);
	longestDelay_ = std::max(longestDelay_, _delay);
	total_ += _took;
}

uint32_t StopTally::late(StopOutcome::Enum _outcome) const
{
	const std::lock_guard<std::mutex> lock(mutex_);
	return late_[_outcome];
}

uint32_t StopTally::all(StopOutcome::Enum _outcome) const
{
	const std::lock_guard<std::mutex> lock(mutex_);
	return before_[_outcome] + early_[_outcome] + late_[_outcome];
}

uint32_t StopTally::early(StopOutcome::Enum _outcome) const
{
	const std::lock_guard<std::mutex> lock(mutex_);
	return early_[_outcome];
}

uint32_t StopTally::brokenPromises() const
{
	const std::lock_guard<std::mutex> lock(mutex_);
	return brokenPromises_;
}

uint32_t StopTally::killed() const
{
	const std::lock_guard<std::mutex> lock(mutex_);
	return killed_;
}

std::string StopTally::text() const
{
	const std::lock_guard<std::mutex> lock(mutex_);
	std::string text =
	    std::to_string(stops_) + " stops, " + std::to_string(killed_) + " killed, ended after " +
	    std::to_string(0 == stops_ ? 0 : total_.count() / stops_) + " ms (mean), " + std::to_string(longest_.count()) +
	    " ms (longest), SIGTERM sent up to " + std::to_string(longestDelay_.count()) +
	    " ms late; promises broken: " + std::to_string(brokenPromises_) + "\n  sent before SIGTERM:" + textOf(before_) +
	    "\n  sent up to 3 s after it:" + textOf(early_) + "\n  sent later:" + textOf(late_) + '\n';
	for (const std::string& fault : faults_)
	{
		text += "  " + fault + '\n';
	}
	return text;
}

std::string StopTally::textOf(const Counts& _counts)
{
	std::string text;
	for (std::size_t outcome = 0; outcome < _counts.size(); ++outcome)
	{
		text += std::string(0 == outcome ? " " : ", ") + nameOf(static_cast<StopOutcome::Enum>(outcome)) + ' ' +
		        std::to_string(_counts[outcome]);
	}
	return text;
}

} // namespace sedgecart

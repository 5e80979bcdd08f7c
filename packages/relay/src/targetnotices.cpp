// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "targetnotices_p.h"

#include <base/clock.h>
#include <fleet/fleetview.h>
#include <logging/logging.h>
#include <metrics/metrics.h>
#include <ports/wireformat.h>

namespace sedgecart
{

namespace
{

std::string textOf(const RateWord& _word)
{
	return _word.limit ? std::to_string(_word.limit->perSecond) : "none";
}

} // namespace

TargetNotices::TargetNotices(const RelayContext& _context) : context_(_context)
{
}

/// What another instance answers at the target's address says nothing of the target.
void TargetNotices::take(const FleetTarget& _target, const TargetAnswer& _answer) const
{
	if (!_answer.notHeld)
	{
		takeRate(_target, _answer);
		takeRest(_target, _answer);
		takeLeaving(_target, _answer);
	}
}

void TargetNotices::takeRate(const FleetTarget& _target, const TargetAnswer& _answer) const
{
	if (RateNotice::Unreadable == _answer.rateNotice)
	{
		context_.metrics.add(Counter::UnreadableNotices); // what it said before counts on
		return;
	}
	RateWord word;
	word.heardAt = context_.clock.now();
	if (RateNotice::Named == _answer.rateNotice)
	{
		word.limit = _answer.rateLimit;
	}
	const RateWord before = _target.load->rate();
	if (!word.limit && !before.isHeard())
	{
		return; // the usual case
	}
	_target.load->ownRate.set(word);
	if (textOf(before) != textOf(word))
	{
		context_.metrics.add(Counter::RateLimits);
		logEvent(LogPart::Targets, LogLevel::Info, "Target changes its rate limit.",
		         {{"target", _target.record.instance.text},
		          {"service", _target.record.service},
		          {"hall", _target.record.hall},
		          {"per_second", textOf(word)},
		          {"before", textOf(before)}});
	}
}

void TargetNotices::takeRest(const FleetTarget& _target, const TargetAnswer& _answer) const
{
	if (RestNotice::Unreadable == _answer.restNotice)
	{
		context_.metrics.add(Counter::UnreadableNotices);
		return;
	}
	if (RestNotice::Asked != _answer.restNotice)
	{
		return;
	}
	_target.load->noteRest(context_.clock.now() + _answer.rest);
	context_.metrics.add(Counter::RestsAsked);
	logEvent(LogPart::Targets, LogLevel::Info, "Target asks for rest.",
	         {{"target", _target.record.instance.text},
	          {"service", _target.record.service},
	          {"hall", _target.record.hall},
	          {"rest_ms", std::to_string(_answer.rest.millis())}});
}

/// Counts for the whole life of the target: an answer without it may have been written before.
void TargetNotices::takeLeaving(const FleetTarget& _target, const TargetAnswer& _answer) const
{
	if (!_answer.isLeaving || _target.load->leaving.exchange(true, std::memory_order_relaxed))
	{
		return;
	}
	logEvent(
	    LogPart::Targets, LogLevel::Info, "Target says that it leaves.",
	    {{"target", _target.record.instance.text}, {"service", _target.record.service}, {"hall", _target.record.hall}});
}

} // namespace sedgecart

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

std::string textOf(const AdvertisedRate& _rate)
{
	return _rate.limit ? std::to_string(_rate.limit->perSecond) : "none";
}

} // namespace

TargetNotices::TargetNotices(const RelayContext& _context) : context_(_context)
{
}

/// Ignores an answer of another instance at the target's address, which says nothing about the target.
void TargetNotices::apply(const FleetTarget& _target, const TargetResponse& _answer) const
{
	if (!_answer.layersNotHeld)
	{
		applyRate(_target, _answer);
		applyBackoff(_target, _answer);
		applyDrainNotice(_target, _answer);
	}
}

void TargetNotices::applyRate(const FleetTarget& _target, const TargetResponse& _answer) const
{
	if (RateNotice::Unreadable == _answer.rateNotice)
	{
		context_.metrics.add(Counter::UnreadableNotices); // the previous limit stays in effect
		return;
	}
	AdvertisedRate advertised;
	advertised.receivedAt = context_.clock.now();
	if (RateNotice::Named == _answer.rateNotice)
	{
		advertised.limit = _answer.rateLimit;
	}
	const AdvertisedRate before = _target.load->rate();
	if (!advertised.limit && !before.isKnown())
	{
		return; // common case: no limit, now or before
	}
	_target.load->ownRate.set(advertised);
	if (textOf(before) != textOf(advertised))
	{
		context_.metrics.add(Counter::RateLimits);
		logEvent(LogPart::Targets, LogLevel::Info, "Target changes its rate limit.",
		         {{"target", _target.record.instance.text},
		          {"service", _target.record.service},
		          {"hall", _target.record.hall},
		          {"per_second", textOf(advertised)},
		          {"before", textOf(before)}});
	}
}

void TargetNotices::applyBackoff(const FleetTarget& _target, const TargetResponse& _answer) const
{
	if (BackoffNotice::Unreadable == _answer.backoffNotice)
	{
		context_.metrics.add(Counter::UnreadableNotices);
		return;
	}
	if (BackoffNotice::Asked != _answer.backoffNotice)
	{
		return;
	}
	_target.load->extendBackoff(context_.clock.now() + _answer.backoff);
	context_.metrics.add(Counter::BackoffsAsked);
	logEvent(LogPart::Targets, LogLevel::Info, "Target asks for a backoff.",
	         {{"target", _target.record.instance.text},
	          {"service", _target.record.service},
	          {"hall", _target.record.hall},
	          {"backoff_ms", std::to_string(_answer.backoff.millis())}});
}

/// Stays in effect for the whole incarnation of the target: an answer without the notice may have been written earlier.
void TargetNotices::applyDrainNotice(const FleetTarget& _target, const TargetResponse& _answer) const
{
	if (!_answer.isDraining || _target.load->draining.exchange(true, std::memory_order_relaxed))
	{
		return;
	}
	logEvent(
	    LogPart::Targets, LogLevel::Info, "Target reports that it is draining.",
	    {{"target", _target.record.instance.text}, {"service", _target.record.service}, {"hall", _target.record.hall}});
}

} // namespace sedgecart

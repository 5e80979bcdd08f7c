// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "streamrelease_p.h"

#include "relayplan_p.h"
#include "retryafter_p.h"

#include <base/clock.h>
#include <fleet/fleetview.h>
#include <relay/relaycontext.h>

#include <algorithm>

namespace sedgecart
{

namespace
{

/// @returns the expected tokens of the answer; 0 if nothing is known of it.
uint64_t hintedTokens(const RelayPlan& _plan, const FleetService& _service)
{
	if (0 < _plan.caller.hintedTokens)
	{
		return _plan.caller.hintedTokens;
	}
	return static_cast<uint64_t>(std::max(0.0, _service.spec->engine.usualAnswerTokens));
}

} // namespace

StreamRelease::StreamRelease(const RelayContext& _context, const RelayPlan& _plan) : context_(_context), plan_(_plan)
{
}

StreamRelease::~StreamRelease()
{
	release();
}

void StreamRelease::onSent(const FleetService& _service, uint64_t _tokens)
{
	release();
	const bool isTracked = usesForecast(context_, plan_) && _service.account;
	const uint64_t hinted = isTracked ? hintedTokens(plan_, _service) : 0;
	if (0 == hinted)
	{
		return;
	}
	if (0 == events_ && plan_.caller.resumeAfter)
	{
		events_ = *plan_.caller.resumeAfter + 1; // events are numbered from 0
	}
	end_.reset(); // refers to the account
	account_ = _service.account;
	tokens_ = _tokens;
	end_.emplace(account_->pace, hinted, events_, context_.clock.now());
	add();
}

void StreamRelease::onEvents(uint64_t _events)
{
	events_ = _events;
	if (addedAt_ && end_->onEvents(_events, context_.clock.now()))
	{
		release();
		add();
	}
}

void StreamRelease::release()
{
	if (addedAt_)
	{
		account_->releases.remove(tokens_, *addedAt_);
		addedAt_.reset();
	}
}

void StreamRelease::restore()
{
	if (end_ && !addedAt_)
	{
		add();
	}
}

void StreamRelease::onComplete()
{
	if (end_ && 0 < events_ && 0 < plan_.caller.hintedTokens)
	{
		end_->onComplete();
	}
}

/// A stream ends at its deadline at the latest.
void StreamRelease::add()
{
	addedAt_ = std::min(end_->endsAt(), plan_.deadline);
	account_->releases.add(tokens_, *addedAt_);
}

} // namespace sedgecart

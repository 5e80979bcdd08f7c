// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

/// @file
/// The part of RequestRelay that waits for capacity.

#include "requestrelay_p.h"

#include <base/clock.h>
#include <metrics/metrics.h>

namespace sedgecart
{

bool RequestRelay::waitForCapacity()
{
	path_.release();
	const bool isFirst = !capacityWait_.isWaiting();
	const bool waits = admission_.isControlled()
	                       ? admission_.push(weak_from_this(), machine_.hasBegun(), forwarder_.lastForwardedAt())
	                       : pauseUntilRetry();
	if (waits && isFirst && machine_.hasBegun())
	{
		context_.metrics.add(Counter::StreamWaits);
		logOutcome("Stream waits for a target with free capacity.", LogLevel::Info, nameOf(machine_.noRetryReason()));
	}
	return waits;
}

/// Schedules the next look for a target.
/// @returns false if the caller is about to leave.
bool RequestRelay::pauseUntilRetry()
{
	const std::weak_ptr<RequestRelay> weak = weak_from_this();
	const auto onElapsed = [weak]
	{
		const std::shared_ptr<RequestRelay> self = weak.lock();
		if (self)
		{
			self->onWaitElapsed();
		}
	};
	return NoRetryReason::TurnedAway == machine_.noRetryReason()
	           ? capacityWait_.pauseAfterRefusal(forwarder_.lastForwardedAt(), machine_.sendsLeft(), onElapsed)
	           : capacityWait_.pause(forwarder_.lastForwardedAt(), onElapsed);
}

void RequestRelay::onWaitElapsed()
{
	path_.readmitExpired();
	machine_.onCapacityAvailable();
	finishIfDone();
}

/// Ends the wait for free capacity once a target continues the stream.
void RequestRelay::endCapacityWait()
{
	if (capacityWait_.isWaiting() && machine_.forwarding())
	{
		capacityWait_.onResumed();
		context_.metrics.add(Counter::StreamPlaces);
	}
}

ReserveOutcome::Enum RequestRelay::reserve()
{
	return machine_.reserveRetry() ? admission_.reserve(machine_.hasBegun()) : ReserveOutcome::NoRetry;
}

void RequestRelay::onAdmitted()
{
	admission_.onAdmitted();
	machine_.onCapacityAvailable();
	finishIfDone();
}

void RequestRelay::onWaitEnded(WaitEnd::Enum _reason)
{
	admission_.onWaitEnded(_reason);
	machine_.onWaitEnded(WaitEnd::Stopping == _reason ? ErrorKind::Stopping : ErrorKind::Overloaded);
	finishIfDone();
}

} // namespace sedgecart

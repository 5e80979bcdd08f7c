// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

/// \file
/// How a request is sent to a target.

#include "requestrelay_p.h"

#include <base/clock.h>
#include <crash/crashdetector.h>
#include <loads/pathwatch.h>
#include <metrics/metrics.h>
#include <relay/targetconnectionpool.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

namespace sedgecart
{

namespace
{

/// Timeout for connecting to a target. A network hop takes well under a millisecond, while a lost SYN is
/// retransmitted only after a second: trying another target costs less than that wait.
constexpr Duration kConnectTimeout = Duration::fromMillis(150);

/// Bodies up to this size, bytes, are sent together with their head.
constexpr std::size_t kMaxJoinedBytes = 16UL * 1024;

/// Maximum number of alternative paths that one send may try before it is abandoned.
constexpr uint32_t kMaxRepaths = 3;

} // namespace

void RequestRelay::startSend(std::optional<uint64_t> _resumeAfter)
{
	context_.metrics.add(path_.leadsToPeer() ? Counter::Handovers : Counter::Sends);
	log_.sent(_resumeAfter.has_value());
	const std::string runsOnce = plan_.facts.isRepeatable() ? std::string() : plan_.caller.id;
	send_ = std::make_shared<RelaySend>(*this, path_.head(), context_.pool.acquire(path_.head().record, runsOnce));
	send_->isToPeer = path_.leadsToPeer();
	send_->runNumber = context_.crashes.beginRun();
	send_->lastProgressAt = context_.clock.now();
	send_->eventsBefore = machine_.events();
	send_->repathsLeft = kMaxRepaths;
	// The exchange starts from the loop, since a failure must not call back into the machine while it decides.
	const std::shared_ptr<RequestRelay> self = shared_from_this();
	boost::asio::post(context_.loop,
	                  [self, _resumeAfter, send = send_]
	                  {
		                  if (!self->machine_.done() && self->send_ == send)
		                  {
			                  send->begin(self->outgoingRequest(_resumeAfter),
			                              self->context_.watch.extendedWait(kConnectTimeout));
		                  }
	                  });
}

OutgoingRequest RequestRelay::outgoingRequest(std::optional<uint64_t> _resumeAfter) const
{
	const std::string& body = plan_.request->body;
	std::string head = requestHead(_resumeAfter);
	if (body.size() <= kMaxJoinedBytes)
	{
		return OutgoingRequest(head + body);
	}
	return OutgoingRequest(std::move(head), std::shared_ptr<const std::string>(plan_.request, &body));
}

std::string RequestRelay::requestHead(std::optional<uint64_t> _resumeAfter) const
{
	if (path_.leadsToPeer())
	{
		HandoverCall handover;
		handover.budget = plan_.deadline - context_.clock.now();
		handover.resumeAfter = _resumeAfter;
		return context_.wire.formatHandoverHead(*plan_.request, handover);
	}
	TargetCall call;
	call.expected = path_.head().record.instance;
	call.customer = plan_.customer;
	call.urgency = plan_.urgency;
	call.resumeAfter = _resumeAfter;
	call.budget = plan_.deadline - context_.clock.now();
	if (path_.hasEngine())
	{
		call.path = path_.stops();
	}
	return context_.wire.formatTargetHead(*plan_.request, call);
}

} // namespace sedgecart

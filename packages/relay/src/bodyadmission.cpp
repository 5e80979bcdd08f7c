// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

/// \file
/// Which requests are refused because there is no memory for their bodies.

#include <relay/requestingress.h>

#include "admissionqueue_p.h"

#include <base/clock.h>
#include <logging/logging.h>
#include <metrics/metrics.h>
#include <ports/wireformat.h>

namespace sedgecart
{

namespace
{

/// Share of a node's memory that bodies may take. The rest is for what a node holds beside them, and for memory that is
/// free but too scattered to be used.
constexpr double kBodyShare = 0.75;

constexpr double kBytesPerMb = 1e6;

} // namespace

uint64_t RequestIngress::bodyMemoryLimit(const EntrySettings& _settings)
{
	return static_cast<uint64_t>(_settings.memoryMb * kBytesPerMb * kBodyShare);
}

BodyMemory* RequestIngress::bodyMemory()
{
	return &bodyMemory_;
}

void RequestIngress::onNoBodyMemory(const std::shared_ptr<ServerConnection>& _connection, const MessageHead& _head)
{
	refuseUnread(_connection, _head, false);
}

void RequestIngress::refuseUnread(const std::shared_ptr<ServerConnection>& _connection, const MessageHead& _head,
                                  bool _wasHandedOver)
{
	context_.metrics.add(_wasHandedOver ? Counter::HandoversTaken : Counter::Requests);
	QueuedRequest queued;
	queued.connection = _connection;
	queued.request.head = _head;
	queued.arrivedAt = context_.clock.now();
	queued.wasHandedOver = _wasHandedOver;
	CallerRequest caller;
	const bool isValid = context_.wire.parseRequest(queued.request, caller);
	logEvent(LogPart::Requests, LogLevel::Warning, "There is no memory for the body of a request.",
	         {{"reserved_bytes", std::to_string(bodyMemory_.reserved())}}, caller.id);
	refuse(queued, isValid ? ErrorKind::Overloaded : ErrorKind::BadRequest, caller.id);
}

} // namespace sedgecart

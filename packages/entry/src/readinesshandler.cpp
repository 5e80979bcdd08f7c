// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "readinesshandler_p.h"

#include <metrics/metrics.h>
#include <ports/wireformat.h>

namespace sedgecart
{

namespace
{

/// A readiness check is a few hundred bytes.
constexpr uint32_t kMaxRequestBytes = 4096;

/// The platform checks every second; a connection that is idle for several checks is not used any more.
constexpr Duration kConnectionTimeout = Duration::fromMillis(10000);

constexpr std::string_view kMetricsPath = "/metrics";

constexpr uint16_t kReady = 200;
constexpr uint16_t kNotReady = 503;
constexpr uint16_t kNotFound = 404;
constexpr uint16_t kBadRequest = 400;

} // namespace

ReadinessHandler::ReadinessHandler(const WireFormatI& _wire, const Metrics& _metrics) : wire_(_wire), metrics_(_metrics)
{
}

void ReadinessHandler::setReady(bool _ready)
{
	ready_.store(_ready, std::memory_order_relaxed);
}

bool ReadinessHandler::isReady() const
{
	return ready_.load(std::memory_order_relaxed);
}

void ReadinessHandler::onRequest(const std::shared_ptr<ServerConnection>& _connection, ServerRequest&& _request)
{
	ResponseStart response;
	response.status = isReady() ? kReady : kNotReady;
	std::string body;
	if (kMetricsPath == _request.head.target)
	{
		response.status = kReady;
		response.headers.add("Content-Type", "text/plain; version=0.0.4");
		body = metrics_.text();
	}
	else if (!wire_.isReadinessCheck(_request.head))
	{
		response.status = kNotFound;
	}
	response.noBody = "HEAD" == _request.head.method;
	response.length = body.size();
	_connection->start(response, body);
	_connection->finish();
}

void ReadinessHandler::onCallerDisconnected(const ServerConnection&)
{
}

uint16_t ReadinessHandler::onBadRequest(ReadState::Enum)
{
	return kBadRequest;
}

/// The balancer takes a check that is not answered for a failed one.
void ReadinessHandler::onClosedUnread(uint32_t)
{
}

std::size_t ReadinessHandler::maxConnections() const
{
	constexpr std::size_t kMaxConnections = 64; // balancers and readers of metrics are few
	return kMaxConnections;
}

ReaderLimits ReadinessHandler::limits() const
{
	ReaderLimits limits;
	limits.headerBytes = kMaxRequestBytes;
	limits.bodyBytes = kMaxRequestBytes;
	return limits;
}

Duration ReadinessHandler::readTimeout() const
{
	return kConnectionTimeout;
}

Duration ReadinessHandler::idleTimeout() const
{
	return kConnectionTimeout;
}

bool ReadinessHandler::closing() const
{
	return false;
}

} // namespace sedgecart

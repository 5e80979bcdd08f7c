// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "readyface_p.h"

#include <metrics/metrics.h>
#include <ports/wireformat.h>

namespace sedgecart
{

namespace
{

/// A question is a few hundred bytes.
constexpr uint32_t kHeaderBytes = 4096;

/// The platform asks every second; a connection that rests longer than some questions is of no use.
constexpr Duration kRestBound = Duration::fromMillis(10000);

constexpr std::string_view kMetricsPath = "/metrics";

constexpr uint16_t kYes = 200;
constexpr uint16_t kNo = 503;
constexpr uint16_t kNotServed = 404;
constexpr uint16_t kBadRequest = 400;

} // namespace

ReadyFace::ReadyFace(const WireFormatI& _wire, const Metrics& _metrics) : wire_(_wire), metrics_(_metrics)
{
}

void ReadyFace::setReady(bool _ready)
{
	ready_.store(_ready, std::memory_order_relaxed);
}

bool ReadyFace::isReady() const
{
	return ready_.load(std::memory_order_relaxed);
}

void ReadyFace::onRequest(const std::shared_ptr<ServerConnection>& _connection, ServerRequest&& _request)
{
	AnswerStart answer;
	answer.status = isReady() ? kYes : kNo;
	std::string body;
	if (kMetricsPath == _request.head.target)
	{
		answer.status = kYes;
		answer.headers.add("Content-Type", "text/plain; version=0.0.4");
		body = metrics_.text();
	}
	else if (!wire_.asksReady(_request.head))
	{
		answer.status = kNotServed;
	}
	answer.noBody = "HEAD" == _request.head.method;
	answer.length = body.size();
	_connection->start(answer, body);
	_connection->finish();
}

void ReadyFace::onCallerGone(const ServerConnection&)
{
}

uint16_t ReadyFace::onBadRequest(ReadState::Enum)
{
	return kBadRequest;
}

ReaderLimits ReadyFace::limits() const
{
	ReaderLimits limits;
	limits.headerBytes = kHeaderBytes;
	limits.bodyBytes = kHeaderBytes;
	return limits;
}

Duration ReadyFace::readBound() const
{
	return kRestBound;
}

Duration ReadyFace::idleBound() const
{
	return kRestBound;
}

bool ReadyFace::closing() const
{
	return false;
}

} // namespace sedgecart

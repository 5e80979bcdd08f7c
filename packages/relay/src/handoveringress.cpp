// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <relay/handoveringress.h>

#include "handoverheader_p.h"

#include <relay/requestingress.h>

#include <charconv>
#include <optional>

namespace sedgecart
{

namespace
{

constexpr uint16_t kBadRequest = 400;

/// Room for the headers that the other node adds to those of the caller.
constexpr uint32_t kAddedHeaderBytes = 256;

/// @returns the number that the header states; none if it is missing, repeated or no number.
std::optional<uint32_t> parseRunsLeft(const HeaderList& _headers)
{
	const std::string* const value = _headers.find(kRunsLeftHeader);
	if (nullptr == value || 1 != _headers.count(kRunsLeftHeader))
	{
		return std::nullopt;
	}
	uint32_t runs = 0;
	const char* const end = value->data() + value->size();
	const auto parsed = std::from_chars(value->data(), end, runs);
	const bool isNumber = std::errc{} == parsed.ec && parsed.ptr == end && 0 < runs;
	return isNumber ? std::optional<uint32_t>(runs) : std::nullopt;
}

} // namespace

void HandoverIngress::onRequest(const std::shared_ptr<ServerConnection>& _connection, ServerRequest&& _request)
{
	const std::optional<uint32_t> runsLeft = parseRunsLeft(_request.head.headers);
	if (!runsLeft)
	{
		ResponseStart start;
		start.status = kBadRequest;
		_connection->start(start, std::string_view());
		_connection->finish();
		return;
	}
	_request.head.headers.remove(kRunsLeftHeader);
	ingress_.onForwarded(_connection, std::move(_request), *runsLeft);
}

void HandoverIngress::onCallerDisconnected(const ServerConnection& _connection)
{
	ingress_.onCallerDisconnected(_connection);
}

uint16_t HandoverIngress::onBadRequest(ReadState::Enum _why)
{
	return ingress_.onBadRequest(_why);
}

ReaderLimits HandoverIngress::limits() const
{
	ReaderLimits limits = ingress_.limits();
	limits.headerBytes += kAddedHeaderBytes;
	return limits;
}

Duration HandoverIngress::readTimeout() const
{
	return ingress_.readTimeout();
}

Duration HandoverIngress::idleTimeout() const
{
	return ingress_.idleTimeout();
}

bool HandoverIngress::closing() const
{
	return ingress_.closing();
}

} // namespace sedgecart

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "reply_p.h"

#include <wire/json.h>
#include <wire/sedgecart.pb.h>

#include <algorithm>

namespace sedgecart
{

namespace
{

constexpr int64_t kMillisPerSecond = 1000;
constexpr int64_t kDefaultRetryAfterMillis = 1000;
const char kBearerPrefix[] = "Bearer ";

int64_t retryAfterMillis(const Error& _error)
{
	if (!responseOf(_error.kind).retry)
	{
		return 0;
	}
	return 0 < _error.retryAfter.micros ? _error.retryAfter.millis() : kDefaultRetryAfterMillis;
}

} // namespace

std::string errorBody(const Error& _error, const std::string& _requestId)
{
	const ErrorResponse& response = responseOf(_error.kind);
	wire::ErrorReply reply;
	wire::ErrorBody& body = *reply.mutable_error();
	body.set_kind(response.name);
	body.set_message(_error.detail.empty() ? response.message : std::string(response.message) + " " + _error.detail);
	body.set_ran(nameOf(response.executed));
	body.set_request(_requestId);
	body.set_retry_after_ms(static_cast<uint32_t>(retryAfterMillis(_error)));
	return toJson(reply);
}

HttpReply errorReply(const Error& _error, const std::string& _requestId)
{
	HttpReply reply;
	reply.status = responseOf(_error.kind).status;
	reply.body = errorBody(_error, _requestId);
	const int64_t millis = retryAfterMillis(_error);
	if (0 < millis)
	{
		// The header has a resolution of one second, so round up; the body has milliseconds.
		const int64_t seconds = std::max<int64_t>(1, (millis + kMillisPerSecond - 1) / kMillisPerSecond);
		reply.headers.push_back({"Retry-After", std::to_string(seconds)});
	}
	reply.headers.push_back({"Sedgecart-Request", _requestId});
	return reply;
}

std::string bearerOf(const std::string& _authorization)
{
	const std::size_t size = sizeof(kBearerPrefix) - 1;
	return 0 == _authorization.compare(0, size, kBearerPrefix) ? _authorization.substr(size) : std::string();
}

} // namespace sedgecart

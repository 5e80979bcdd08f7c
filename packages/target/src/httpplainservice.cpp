// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <target/httpplainservice.h>

#include <http/httpclient.h>

#include <boost/algorithm/string/predicate.hpp>

namespace sedgecart
{

namespace
{

/// A service that refuses before it starts says so in this header.
constexpr const char* kRanHeader = "Sedgecart-Ran";
constexpr const char* kNotRun = "no";
constexpr uint16_t kFirstError = 400;

bool saysNotRun(const HttpReply& _reply)
{
	if (_reply.status < kFirstError)
	{
		return false;
	}
	for (const HttpHeader& header : _reply.headers)
	{
		if (boost::algorithm::iequals(header.name, kRanHeader) && kNotRun == header.value)
		{
			return true;
		}
	}
	return false;
}

} // namespace

HttpPlainService::HttpPlainService(const Cancellation& _cancellation) : cancellation_(_cancellation)
{
}

ServiceOutcome HttpPlainService::call(const ServiceCall& _call)
{
	HttpClient client(parseEndpoint(_call.address), &cancellation_);
	HttpCall call;
	call.method = _call.method;
	call.target = _call.path;
	call.contentType = _call.contentType.empty() ? "application/json" : _call.contentType;
	call.body = _call.body;
	call.headers.push_back({"Sedgecart-Request", _call.request});
	if (!_call.key.empty())
	{
		call.headers.push_back({"Idempotency-Key", _call.key});
	}
	const HttpOutcome outcome = client.call(call, _call.timeout);
	ServiceOutcome made;
	made.detail = outcome.detail;
	if (CallState::Replied != outcome.state)
	{
		made.state = CallState::NotSent == outcome.state ? ServiceState::Unreachable : ServiceState::Lost;
		return made;
	}
	made.state = saysNotRun(outcome.reply) ? ServiceState::Refused : ServiceState::Answered;
	made.status = outcome.reply.status;
	made.contentType = outcome.reply.contentType;
	made.body = outcome.reply.body;
	return made;
}

} // namespace sedgecart

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "caller_p.h"

#include "context_p.h"
#include "reply_p.h"
#include "stopstate_p.h"

#include <base/config.h>
#include <base/digest.h>
#include <core/snapshot.h>
#include <http/httpexchange.h>

#include <charconv>

namespace sedgecart
{

namespace
{

constexpr const char* kDeadlineHeader = "Sedgecart-Deadline-Ms";
constexpr int64_t kMaxDeadlineMillis = 3600000;

Result<Duration> deadlineOf(const HttpExchangeI& _exchange)
{
	const std::string text = _exchange.header(kDeadlineHeader);
	if (text.empty())
	{
		return Duration::fromMillis(SEDGECART_CONFIG_DEFAULT_DEADLINE_MS);
	}
	int64_t millis = 0;
	const char* const end = text.data() + text.size();
	const auto parsed = std::from_chars(text.data(), end, millis);
	if (parsed.ptr != end || std::errc{} != parsed.ec || millis <= 0 || kMaxDeadlineMillis < millis)
	{
		return Error{ErrorKind::BadRequest, std::string(kDeadlineHeader) + " must be 1 to 3600000.", {}};
	}
	return Duration::fromMillis(millis);
}

} // namespace

Result<Caller> identify(const NodeContext& _context, const HttpExchangeI& _exchange, const std::string& _requestId,
                        const std::string& _route, RouteKind::Enum _kind)
{
	const Result<Duration> deadline = deadlineOf(_exchange);
	if (!deadline.has_value())
	{
		return deadline.error();
	}
	const std::string digest = sha256Hex(bearerOf(_exchange.header("Authorization")));
	const SnapshotCell::Reader snapshot(_context.snapshots);
	const auto customer = snapshot->customers.find(digest);
	if (snapshot->customers.end() == customer)
	{
		return Error{ErrorKind::BadKey, {}, {}};
	}
	const auto route = snapshot->routes.find(_route);
	if (snapshot->routes.end() == route || _kind != route->second.spec.kind)
	{
		return Error{ErrorKind::UnknownRoute, {}, {}};
	}
	if (!route->second.held)
	{
		return Error{ErrorKind::RouteElsewhere, "It is held by side " + route->second.spec.holder + ".", {}};
	}
	const Time now = _context.clock.now();
	if (!_context.stop.admits(now, now + deadline.value()))
	{
		return Error{ErrorKind::Stopping, {}, {}};
	}
	Caller caller;
	caller.requestId = _requestId;
	caller.customer = customer->second.spec.name;
	caller.weight = customer->second.spec.weight;
	caller.route = route->second.spec;
	caller.startedAt = now;
	caller.deadline = caller.startedAt + deadline.value();
	return caller;
}

} // namespace sedgecart

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <relay/handoveringress.h>

#include <relay/requestingress.h>

namespace sedgecart
{

namespace
{

/// Room for what the other node adds to the headers of the caller.
constexpr uint32_t kAddedHeaderBytes = 256;

} // namespace

void HandoverIngress::onRequest(const std::shared_ptr<ServerConnection>& _connection, ServerRequest&& _request)
{
	ingress_.onHandover(_connection, std::move(_request));
}

void HandoverIngress::onCallerDisconnected(const ServerConnection& _connection)
{
	ingress_.onCallerDisconnected(_connection);
}

uint16_t HandoverIngress::onBadRequest(ReadState::Enum _why)
{
	return ingress_.onBadRequest(_why);
}

void HandoverIngress::onClosedUnread(uint32_t _count)
{
	ingress_.onClosedUnread(_count);
}

BodyMemory* HandoverIngress::bodyMemory()
{
	return ingress_.bodyMemory();
}

void HandoverIngress::onNoBodyMemory(const std::shared_ptr<ServerConnection>& _connection, const MessageHead& _head)
{
	ingress_.refuseUnread(_connection, _head, true);
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

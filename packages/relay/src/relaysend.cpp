// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "relaysend_p.h"

#include "requestrelay_p.h"

namespace sedgecart
{

RelaySend::RelaySend(RequestRelay& _relay, const FleetTarget& _target, std::unique_ptr<TargetConnection> _connection)
    : target(_target),
      isNewConnection(!_connection->client().reusable()),
      relay_(_relay),
      connection_(std::move(_connection))
{
}

void RelaySend::begin(OutgoingRequest _request, Duration _connectTimeout)
{
	connection_->client().exchange(std::move(_request), *this, _connectTimeout);
}

void RelaySend::close()
{
	if (connection_)
	{
		connection_->client().close();
	}
}

std::unique_ptr<TargetConnection> RelaySend::takeConnection()
{
	return std::move(connection_);
}

void RelaySend::onSent()
{
	relay_.onSent(*this);
}

HeadVerdict::Enum RelaySend::onHead(MessageHead& _head)
{
	return relay_.onHead(*this, _head);
}

void RelaySend::onBody(std::string_view _bytes)
{
	relay_.onBody(*this, _bytes);
}

void RelaySend::onComplete()
{
	relay_.onWhole(*this);
}

void RelaySend::onFailed(ExchangeFailure::Enum _how)
{
	relay_.onBroken(*this, _how);
}

} // namespace sedgecart

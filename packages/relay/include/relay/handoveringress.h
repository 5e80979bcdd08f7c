// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_RELAY_HANDOVERINGRESS_H_HEADER_GUARD
#define SEDGECART_RELAY_HANDOVERINGRESS_H_HEADER_GUARD

#include <aio/serverconnection.h>

namespace sedgecart
{

class RequestIngress;

/// Receives requests that other nodes hand over because they reach no target. They are admitted like those of callers,
/// with the caller's key, and never handed on. Loop thread only.
class HandoverIngress : public ServerHandlerI
{
public:
	/// @param _ingress must outlive this object.
	explicit HandoverIngress(RequestIngress& _ingress) : ingress_(_ingress)
	{
	}

	void onRequest(const std::shared_ptr<ServerConnection>& _connection, ServerRequest&& _request) override;
	void onCallerDisconnected(const ServerConnection& _connection) override;
	uint16_t onBadRequest(ReadState::Enum _why) override;
	void onClosedUnread(uint32_t _count) override;
	BodyMemory* bodyMemory() override;
	void onNoBodyMemory(const std::shared_ptr<ServerConnection>& _connection, const MessageHead& _head) override;
	ReaderLimits limits() const override;
	Duration readTimeout() const override;
	Duration idleTimeout() const override;
	bool closing() const override;

private:
	RequestIngress& ingress_;
};

} // namespace sedgecart

#endif // SEDGECART_RELAY_HANDOVERINGRESS_H_HEADER_GUARD

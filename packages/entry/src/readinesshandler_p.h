// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_ENTRY_READINESSHANDLER_P_H_HEADER_GUARD
#define SEDGECART_ENTRY_READINESSHANDLER_P_H_HEADER_GUARD

#include <aio/serverconnection.h>

#include <atomic>

namespace sedgecart
{

class Metrics;
class WireFormatI;

/// Serves the readiness check, which reports whether this node accepts new connections, and the metrics. Runs on the
/// loop thread, except for `setReady` and `isReady`.
class ReadinessHandler : public ServerHandlerI
{
public:
	ReadinessHandler(const WireFormatI& _wire, const Metrics& _metrics);

	/// Sets the result of the readiness check. Any thread.
	void setReady(bool _ready);

	/// @returns the result of the readiness check. Any thread.
	bool isReady() const;

	void onRequest(const std::shared_ptr<ServerConnection>& _connection, ServerRequest&& _request) override;
	void onCallerDisconnected(const ServerConnection& _connection) override;
	uint16_t onBadRequest(ReadState::Enum _reason) override;
	void onClosedUnread(uint32_t _count) override;
	std::size_t maxConnections() const override;
	ReaderLimits limits() const override;
	Duration readTimeout() const override;
	Duration idleTimeout() const override;
	bool closing() const override;

private:
	const WireFormatI& wire_;
	const Metrics& metrics_;
	std::atomic<bool> ready_{false};
};

} // namespace sedgecart

#endif // SEDGECART_ENTRY_READINESSHANDLER_P_H_HEADER_GUARD

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_ENTRY_READYFACE_P_H_HEADER_GUARD
#define SEDGECART_ENTRY_READYFACE_P_H_HEADER_GUARD

#include <aio/serverconnection.h>

#include <atomic>

namespace sedgecart
{

class WireFormatI;

/// Answers whether this node takes new connections. Loop thread only, but for `setReady`.
class ReadyFace : public ServerHandlerI
{
public:
	explicit ReadyFace(const WireFormatI& _wire);

	/// Any thread.
	void setReady(bool _ready);

	bool isReady() const;

	void onRequest(const std::shared_ptr<ServerConnection>& _connection, ServerRequest&& _request) override;
	void onCallerGone(const ServerConnection& _connection) override;
	uint16_t onBadRequest(ReadState::Enum _why) override;
	ReaderLimits limits() const override;
	Duration readBound() const override;
	Duration idleBound() const override;
	bool closing() const override;

private:
	const WireFormatI& wire_;
	std::atomic<bool> ready_{false};
};

} // namespace sedgecart

#endif // SEDGECART_ENTRY_READYFACE_P_H_HEADER_GUARD

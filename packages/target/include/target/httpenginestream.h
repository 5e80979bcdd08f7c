// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_TARGET_HTTPENGINESTREAM_H_HEADER_GUARD
#define SEDGECART_TARGET_HTTPENGINESTREAM_H_HEADER_GUARD

#include <target/engine.h>

#include <memory>

namespace sedgecart
{

class Cancellation;
class HttpClient;

/// A stream over HTTP and server-sent events.
class HttpEngineStream : public EngineStreamI
{
public:
	/// @param _cancellation ends the stream.
	explicit HttpEngineStream(const Cancellation& _cancellation);
	~HttpEngineStream() override;

	OpenOutcome open(const StreamOrder& _order) override;
	EventState::Enum next(Duration _timeout, StreamEvent& _event) override;

private:
	const Cancellation& cancellation_;
	std::unique_ptr<HttpClient> client_;
};

} // namespace sedgecart

#endif // SEDGECART_TARGET_HTTPENGINESTREAM_H_HEADER_GUARD

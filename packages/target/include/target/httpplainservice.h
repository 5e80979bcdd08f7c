// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_TARGET_HTTPPLAINSERVICE_H_HEADER_GUARD
#define SEDGECART_TARGET_HTTPPLAINSERVICE_H_HEADER_GUARD

#include <target/plainservice.h>

namespace sedgecart
{

class Cancellation;

/// An application runner over HTTP. Each call has a connection of its own: on a kept one, a byte may have been sent
/// to a server that had already closed, and nobody could say whether it ran.
class HttpPlainService : public PlainServiceI
{
public:
	/// @param _cancellation ends calls.
	explicit HttpPlainService(const Cancellation& _cancellation);

	ServiceOutcome call(const ServiceCall& _call) override;

private:
	const Cancellation& cancellation_;
};

} // namespace sedgecart

#endif // SEDGECART_TARGET_HTTPPLAINSERVICE_H_HEADER_GUARD

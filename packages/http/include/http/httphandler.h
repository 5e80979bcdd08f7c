// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_HTTP_HTTPHANDLER_H_HEADER_GUARD
#define SEDGECART_HTTP_HTTPHANDLER_H_HEADER_GUARD

namespace sedgecart
{

class HttpExchangeI;

/// What a server calls for each request, from many threads at once.
class HttpHandlerI
{
public:
	virtual ~HttpHandlerI() = default;

	/// Answers one request. It blocks until the answer is sent.
	virtual void handle(HttpExchangeI& _exchange) = 0;

	/// Answers a request whose body is over the bound; its body is not kept.
	virtual void handleTooLarge(HttpExchangeI& _exchange) = 0;
};

} // namespace sedgecart

#endif // SEDGECART_HTTP_HTTPHANDLER_H_HEADER_GUARD

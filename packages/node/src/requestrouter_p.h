// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_NODE_REQUESTROUTER_P_H_HEADER_GUARD
#define SEDGECART_NODE_REQUESTROUTER_P_H_HEADER_GUARD

#include "commandexecutor_p.h"

#include <base/error.h>
#include <http/httphandler.h>

#include <string>

namespace sedgecart
{

class HttpExchangeI;
struct NodeContext;

/// Routes HTTP requests by method and path to their handlers. Thread-safe.
class RequestRouter : public HttpHandlerI
{
public:
	explicit RequestRouter(const NodeContext& _context);

	void handle(HttpExchangeI& _exchange) override;
	void handleTooLarge(HttpExchangeI& _exchange) override;

private:
	void route(HttpExchangeI& _exchange, const std::string& _requestId);
	void handleGeneration(HttpExchangeI& _exchange, const std::string& _requestId, bool _chat);
	void handleServiceCall(HttpExchangeI& _exchange, const std::string& _requestId);
	void handleCommand(HttpExchangeI& _exchange, const std::string& _requestId);
	void handleDump(HttpExchangeI& _exchange, const std::string& _requestId);
	void handleHealth(HttpExchangeI& _exchange);
	void handleMetrics(HttpExchangeI& _exchange);
	void refuse(HttpExchangeI& _exchange, const Error& _error, const std::string& _requestId);
	/// @returns true if the request carries the operator key.
	bool isOperator(const HttpExchangeI& _exchange) const;

	const NodeContext& context_;
	CommandExecutor operatorCommands_;
};

} // namespace sedgecart

#endif // SEDGECART_NODE_REQUESTROUTER_P_H_HEADER_GUARD

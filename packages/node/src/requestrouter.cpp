// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "requestrouter_p.h"

#include "admission_p.h"
#include "answersink_p.h"
#include "caller_p.h"
#include "context_p.h"
#include "dump_p.h"
#include "generation_p.h"
#include "reply_p.h"
#include "servicerelay_p.h"
#include "stopstate_p.h"

#include <base/config.h>
#include <base/digest.h>
#include <http/httpexchange.h>
#include <logging/logging.h>
#include <node/settings.h>
#include <wire/json.h>
#include <wire/sedgecart.pb.h>

#include <algorithm>

namespace sedgecart
{

namespace
{

const char kRoutesPrefix[] = "/v1/routes/";
constexpr uint32_t kBytesPerToken = 4; // approximate size of a token of text, for estimates only
constexpr uint16_t kServiceUnavailable = 503;

bool startsWith(const std::string& _text, const std::string& _prefix)
{
	return 0 == _text.compare(0, _prefix.size(), _prefix);
}

uint32_t tokensOrDefault(uint32_t _requested)
{
	return 0 == _requested ? SEDGECART_CONFIG_DEFAULT_TOKENS : _requested;
}

Result<GenerationRequest> readCompletion(const std::string& _body)
{
	wire::CompletionRequest request;
	if (!fromJson(_body, request))
	{
		return Error{ErrorKind::BadRequest, "The body is not a completion request.", {}};
	}
	GenerationRequest generation;
	generation.route = request.model();
	generation.prompt = request.prompt();
	generation.maxTokens = tokensOrDefault(request.max_tokens());
	generation.stream = request.stream();
	return generation;
}

Result<GenerationRequest> readChat(const std::string& _body)
{
	wire::ChatRequest request;
	if (!fromJson(_body, request))
	{
		return Error{ErrorKind::BadRequest, "The body is not a chat request.", {}};
	}
	GenerationRequest generation;
	generation.route = request.model();
	for (const wire::ChatMessage& message : request.messages())
	{
		generation.prompt += message.role() + ": " + message.content() + "\n";
	}
	generation.maxTokens = tokensOrDefault(request.max_tokens());
	generation.stream = request.stream();
	generation.chat = true;
	return generation;
}

Result<GenerationRequest> readGeneration(const std::string& _body, bool _chat)
{
	Result<GenerationRequest> parsed = _chat ? readChat(_body) : readCompletion(_body);
	if (!parsed.has_value())
	{
		return parsed;
	}
	GenerationRequest& generation = parsed.value();
	if (generation.route.empty() || generation.prompt.empty())
	{
		return Error{ErrorKind::BadRequest, "The model or the prompt is missing.", {}};
	}
	if (SEDGECART_CONFIG_MAX_TOKENS < generation.maxTokens)
	{
		return Error{ErrorKind::BadRequest,
		             "The number of tokens must not exceed " + std::to_string(SEDGECART_CONFIG_MAX_TOKENS) + ".",
		             {}};
	}
	generation.promptTokens = static_cast<uint32_t>(generation.prompt.size() / kBytesPerToken + 1);
	return parsed;
}

} // namespace

RequestRouter::RequestRouter(const NodeContext& _context) : context_(_context), operatorCommands_(_context)
{
}

void RequestRouter::handle(HttpExchangeI& _exchange)
{
	const std::string requestId = context_.incarnation.nextId();
	try
	{
		route(_exchange, requestId);
	}
	catch (const std::exception& error)
	{
		logLine(LogPart::Requests, LogLevel::Error, std::string("Fault: ") + error.what() + ".", requestId);
		if (!_exchange.answered())
		{
			refuse(_exchange, Error{ErrorKind::Internal, {}, {}}, requestId);
			return;
		}
		_exchange.abortStream();
	}
}

void RequestRouter::handleTooLarge(HttpExchangeI& _exchange)
{
	refuse(_exchange, Error{ErrorKind::TooLarge, {}, {}}, context_.incarnation.nextId());
}

void RequestRouter::route(HttpExchangeI& _exchange, const std::string& _requestId)
{
	const std::string path = _exchange.path();
	const bool get = "GET" == _exchange.method();
	const bool post = "POST" == _exchange.method();
	const bool postPath = "/v1/completions" == path || "/v1/chat/completions" == path || "/v1/command" == path;
	const bool getPath = "/healthz" == path || "/metrics" == path || "/v1/dump" == path;
	if ((postPath && !post) || (getPath && !get))
	{
		refuse(_exchange, Error{ErrorKind::BadMethod, {}, {}}, _requestId);
		return;
	}
	if ("/v1/completions" == path || "/v1/chat/completions" == path)
	{
		handleGeneration(_exchange, _requestId, "/v1/chat/completions" == path);
		return;
	}
	if (startsWith(path, kRoutesPrefix))
	{
		handleServiceCall(_exchange, _requestId);
		return;
	}
	if ("/v1/command" == path)
	{
		handleCommand(_exchange, _requestId);
		return;
	}
	if ("/v1/dump" == path)
	{
		handleDump(_exchange, _requestId);
		return;
	}
	if ("/healthz" == path)
	{
		handleHealth(_exchange);
		return;
	}
	if ("/metrics" == path)
	{
		handleMetrics(_exchange);
		return;
	}
	refuse(_exchange, Error{ErrorKind::UnknownPath, {}, {}}, _requestId);
}

void RequestRouter::handleGeneration(HttpExchangeI& _exchange, const std::string& _requestId, bool _chat)
{
	context_.metrics.add(Counter::Requests);
	const Result<GenerationRequest> parsed = readGeneration(_exchange.body(), _chat);
	if (!parsed.has_value())
	{
		refuse(_exchange, parsed.error(), _requestId);
		return;
	}
	const Result<Caller> identified = identify(context_, _exchange, _requestId, parsed.value().route, RouteKind::Model);
	if (!identified.has_value())
	{
		refuse(_exchange, identified.error(), _requestId);
		return;
	}
	const Caller& caller = identified.value();
	const RegistryEntry entry(context_.registry,
	                          ActiveRequest{_requestId, caller.customer, caller.route.name, {}, caller.startedAt, 0});
	const AnswerFormat format{_requestId, parsed.value().route, _chat, parsed.value().stream,
	                          parsed.value().promptTokens};
	const auto sink = makeAnswerSink(_exchange, format);
	Generation(context_, caller, parsed.value(), *sink).run();
}

void RequestRouter::handleServiceCall(HttpExchangeI& _exchange, const std::string& _requestId)
{
	context_.metrics.add(Counter::Requests);
	const std::string path = _exchange.path().substr(sizeof(kRoutesPrefix) - 1);
	const std::size_t slash = path.find('/');
	const std::string name = path.substr(0, slash);
	const Result<Caller> identified = identify(context_, _exchange, _requestId, name, RouteKind::Service);
	if (!identified.has_value())
	{
		refuse(_exchange, identified.error(), _requestId);
		return;
	}
	const Caller& caller = identified.value();
	const RegistryEntry entry(context_.registry,
	                          ActiveRequest{_requestId, caller.customer, name, {}, caller.startedAt, 0});
	ServiceRequest call;
	call.method = _exchange.method();
	call.path = std::string::npos == slash ? "/" : path.substr(slash);
	call.path += _exchange.query().empty() ? std::string() : "?" + _exchange.query();
	call.contentType = _exchange.header("Content-Type");
	call.body = _exchange.body();
	call.idempotencyKey = _exchange.header("Idempotency-Key");
	_exchange.reply(ServiceRelay(context_, caller, call).run());
}

void RequestRouter::handleCommand(HttpExchangeI& _exchange, const std::string& _requestId)
{
	if (!isOperator(_exchange))
	{
		refuse(_exchange, Error{ErrorKind::BadKey, {}, {}}, _requestId);
		return;
	}
	wire::CommandRequest request;
	if (!fromJson(_exchange.body(), request))
	{
		refuse(_exchange, Error{ErrorKind::BadRequest, "The body is not a command.", {}}, _requestId);
		return;
	}
	const std::string authorHeader = _exchange.header("Sedgecart-Author");
	const std::string author = (authorHeader.empty() ? "operator" : authorHeader) + "@" + context_.settings.name;
	const Result<wire::CommandReply> result = operatorCommands_.execute(request, author);
	if (!result.has_value())
	{
		refuse(_exchange, result.error(), _requestId);
		return;
	}
	HttpReply reply;
	reply.body = toJson(result.value());
	_exchange.reply(reply);
}

void RequestRouter::handleDump(HttpExchangeI& _exchange, const std::string& _requestId)
{
	if (!isOperator(_exchange))
	{
		refuse(_exchange, Error{ErrorKind::BadKey, {}, {}}, _requestId);
		return;
	}
	HttpReply reply;
	reply.body = dumpState(context_);
	_exchange.reply(reply);
}

void RequestRouter::handleHealth(HttpExchangeI& _exchange)
{
	HttpReply reply;
	reply.contentType = "text/plain";
	const bool stopping = context_.stop.isStopping();
	const bool serving = context_.ready && !stopping;
	reply.status = serving ? reply.status : kServiceUnavailable;
	reply.body = serving ? "ok\n" : (stopping ? "stopping\n" : "starting\n");
	_exchange.reply(reply);
}

void RequestRouter::handleMetrics(HttpExchangeI& _exchange)
{
	HttpReply reply;
	reply.contentType = "text/plain; version=0.0.4";
	reply.body = context_.metrics.text();
	_exchange.reply(reply);
}

void RequestRouter::refuse(HttpExchangeI& _exchange, const Error& _error, const std::string& _requestId)
{
	context_.metrics.addError(_error.kind);
	_exchange.reply(errorReply(_error, _requestId));
}

bool RequestRouter::isOperator(const HttpExchangeI& _exchange) const
{
	return equalSecret(bearerOf(_exchange.header("Authorization")), context_.settings.operatorKey);
}

} // namespace sedgecart

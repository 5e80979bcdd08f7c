// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "front_p.h"

#include "admission_p.h"
#include "answersink_p.h"
#include "caller_p.h"
#include "context_p.h"
#include "dump_p.h"
#include "generation_p.h"
#include "reply_p.h"
#include "servicerelay_p.h"

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

const char kRoutes[] = "/v1/routes/";
constexpr uint32_t kBytesPerToken = 4; // rough size of a token of text, for estimates only
constexpr uint16_t kUnavailable = 503;

bool startsWith(const std::string& _text, const std::string& _prefix)
{
	return 0 == _text.compare(0, _prefix.size(), _prefix);
}

uint32_t tokensWanted(uint32_t _asked)
{
	return 0 == _asked ? SEDGECART_CONFIG_DEFAULT_TOKENS : _asked;
}

Result<GenerationAsk> readCompletion(const std::string& _body)
{
	wire::CompletionRequest request;
	if (!fromJson(_body, request))
	{
		return Error{ErrorKind::BadRequest, "The body is not a completion request.", {}};
	}
	GenerationAsk ask;
	ask.route = request.model();
	ask.prompt = request.prompt();
	ask.tokens = tokensWanted(request.max_tokens());
	ask.stream = request.stream();
	return ask;
}

Result<GenerationAsk> readChat(const std::string& _body)
{
	wire::ChatRequest request;
	if (!fromJson(_body, request))
	{
		return Error{ErrorKind::BadRequest, "The body is not a chat request.", {}};
	}
	GenerationAsk ask;
	ask.route = request.model();
	for (const wire::ChatMessage& message : request.messages())
	{
		ask.prompt += message.role() + ": " + message.content() + "\n";
	}
	ask.tokens = tokensWanted(request.max_tokens());
	ask.stream = request.stream();
	ask.chat = true;
	return ask;
}

Result<GenerationAsk> readAsk(const std::string& _body, bool _chat)
{
	Result<GenerationAsk> ask = _chat ? readChat(_body) : readCompletion(_body);
	if (!ask.has_value())
	{
		return ask;
	}
	GenerationAsk& made = ask.value();
	if (made.route.empty() || made.prompt.empty())
	{
		return Error{ErrorKind::BadRequest, "The model or the prompt is missing.", {}};
	}
	if (SEDGECART_CONFIG_MAX_TOKENS < made.tokens)
	{
		return Error{
		    ErrorKind::BadRequest, "The most tokens are " + std::to_string(SEDGECART_CONFIG_MAX_TOKENS) + ".", {}};
	}
	made.promptTokens = static_cast<uint32_t>(made.prompt.size() / kBytesPerToken + 1);
	return ask;
}

} // namespace

Front::Front(const NodeContext& _context) : context_(_context), desk_(_context)
{
}

void Front::handle(HttpExchangeI& _exchange)
{
	const std::string request = context_.incarnation.nextId();
	try
	{
		route(_exchange, request);
	}
	catch (const std::exception& error)
	{
		logLine(LogPart::Requests, LogLevel::Error, std::string("Fault: ") + error.what() + ".", request);
		if (!_exchange.answered())
		{
			refuse(_exchange, Error{ErrorKind::Internal, {}, {}}, request);
			return;
		}
		_exchange.abortStream();
	}
}

void Front::handleTooLarge(HttpExchangeI& _exchange)
{
	refuse(_exchange, Error{ErrorKind::TooLarge, {}, {}}, context_.incarnation.nextId());
}

void Front::route(HttpExchangeI& _exchange, const std::string& _request)
{
	const std::string path = _exchange.path();
	const bool get = "GET" == _exchange.method();
	const bool post = "POST" == _exchange.method();
	const bool forPost = "/v1/completions" == path || "/v1/chat/completions" == path || "/v1/command" == path;
	const bool forGet = "/healthz" == path || "/metrics" == path || "/v1/dump" == path;
	if ((forPost && !post) || (forGet && !get))
	{
		refuse(_exchange, Error{ErrorKind::BadMethod, {}, {}}, _request);
		return;
	}
	if ("/v1/completions" == path || "/v1/chat/completions" == path)
	{
		generate(_exchange, _request, "/v1/chat/completions" == path);
		return;
	}
	if (startsWith(path, kRoutes))
	{
		callService(_exchange, _request);
		return;
	}
	if ("/v1/command" == path)
	{
		command(_exchange, _request);
		return;
	}
	if ("/v1/dump" == path)
	{
		dump(_exchange, _request);
		return;
	}
	if ("/healthz" == path)
	{
		health(_exchange);
		return;
	}
	if ("/metrics" == path)
	{
		metrics(_exchange);
		return;
	}
	refuse(_exchange, Error{ErrorKind::UnknownPath, {}, {}}, _request);
}

void Front::generate(HttpExchangeI& _exchange, const std::string& _request, bool _chat)
{
	context_.metrics.add(Counter::Requests);
	const Result<GenerationAsk> ask = readAsk(_exchange.body(), _chat);
	if (!ask.has_value())
	{
		refuse(_exchange, ask.error(), _request);
		return;
	}
	const Result<Caller> caller = identify(context_, _exchange, _request, ask.value().route, RouteKind::Model);
	if (!caller.has_value())
	{
		refuse(_exchange, caller.error(), _request);
		return;
	}
	const Caller& who = caller.value();
	const RegistryEntry entry(context_.registry,
	                          ActiveRequest{_request, who.customer, who.route.name, {}, who.begun, 0});
	const AnswerForm form{_request, ask.value().route, _chat, ask.value().stream, ask.value().promptTokens};
	const auto sink = makeAnswerSink(_exchange, form);
	Generation(context_, who, ask.value(), *sink).run();
}

void Front::callService(HttpExchangeI& _exchange, const std::string& _request)
{
	context_.metrics.add(Counter::Requests);
	const std::string rest = _exchange.path().substr(sizeof(kRoutes) - 1);
	const std::size_t slash = rest.find('/');
	const std::string name = rest.substr(0, slash);
	const Result<Caller> caller = identify(context_, _exchange, _request, name, RouteKind::Service);
	if (!caller.has_value())
	{
		refuse(_exchange, caller.error(), _request);
		return;
	}
	const Caller& who = caller.value();
	const RegistryEntry entry(context_.registry, ActiveRequest{_request, who.customer, name, {}, who.begun, 0});
	ServiceAsk ask;
	ask.method = _exchange.method();
	ask.path = std::string::npos == slash ? "/" : rest.substr(slash);
	ask.path += _exchange.query().empty() ? std::string() : "?" + _exchange.query();
	ask.contentType = _exchange.header("Content-Type");
	ask.body = _exchange.body();
	ask.key = _exchange.header("Idempotency-Key");
	_exchange.reply(ServiceRelay(context_, who, ask).run());
}

void Front::command(HttpExchangeI& _exchange, const std::string& _request)
{
	if (!isOperator(_exchange))
	{
		refuse(_exchange, Error{ErrorKind::BadKey, {}, {}}, _request);
		return;
	}
	wire::CommandRequest request;
	if (!fromJson(_exchange.body(), request))
	{
		refuse(_exchange, Error{ErrorKind::BadRequest, "The body is not a command.", {}}, _request);
		return;
	}
	const std::string named = _exchange.header("Sedgecart-Author");
	const std::string author = (named.empty() ? "operator" : named) + "@" + context_.settings.name;
	const Result<wire::CommandReply> result = desk_.run(request, author);
	if (!result.has_value())
	{
		refuse(_exchange, result.error(), _request);
		return;
	}
	HttpReply reply;
	reply.body = toJson(result.value());
	_exchange.reply(reply);
}

void Front::dump(HttpExchangeI& _exchange, const std::string& _request)
{
	if (!isOperator(_exchange))
	{
		refuse(_exchange, Error{ErrorKind::BadKey, {}, {}}, _request);
		return;
	}
	HttpReply reply;
	reply.body = dumpState(context_);
	_exchange.reply(reply);
}

void Front::health(HttpExchangeI& _exchange)
{
	HttpReply reply;
	reply.contentType = "text/plain";
	const bool serving = context_.ready && !context_.stopping;
	reply.status = serving ? reply.status : kUnavailable;
	reply.body = serving ? "ok\n" : (context_.stopping ? "stopping\n" : "starting\n");
	_exchange.reply(reply);
}

void Front::metrics(HttpExchangeI& _exchange)
{
	HttpReply reply;
	reply.contentType = "text/plain; version=0.0.4";
	reply.body = context_.metrics.text();
	_exchange.reply(reply);
}

void Front::refuse(HttpExchangeI& _exchange, const Error& _error, const std::string& _request)
{
	context_.metrics.addError(_error.kind);
	_exchange.reply(errorReply(_error, _request));
}

bool Front::isOperator(const HttpExchangeI& _exchange) const
{
	return equalSecret(bearerOf(_exchange.header("Authorization")), context_.settings.operatorKey);
}

} // namespace sedgecart

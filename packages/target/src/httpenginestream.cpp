// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <target/httpenginestream.h>

#include <base/config.h>
#include <http/httpclient.h>
#include <wire/json.h>
#include <wire/sedgecart.pb.h>

namespace sedgecart
{

namespace
{

constexpr uint16_t kBusy = 429;

wire::StreamOpen toWire(const StreamOrder& _order)
{
	wire::StreamOpen open;
	open.set_attempt(_order.attempt);
	open.set_request(_order.request);
	open.set_model(_order.model);
	open.set_prompt(_order.prompt);
	open.set_max_tokens(_order.maxTokens);
	open.set_start_position(_order.start.value);
	open.set_priority(_order.priority);
	for (const ChainStage& stage : _order.chain.stages)
	{
		wire::ChainStage& made = *open.add_chain();
		made.set_target(stage.name);
		made.set_address(stage.address);
		made.set_hall(stage.hall);
		made.set_first_layer(stage.layers.first);
		made.set_last_layer(stage.layers.last);
	}
	return open;
}

StreamEvent fromWire(const wire::TokenEvent& _token)
{
	StreamEvent event;
	event.attempt = _token.attempt();
	event.position = Position{_token.position()};
	event.text = _token.text();
	event.end = _token.end();
	event.count = _token.count();
	event.failedTarget = _token.failed_target();
	for (const wire::Receipt& receipt : _token.receipts())
	{
		event.receipts.push_back({receipt.target(), LayerRange{receipt.first_layer(), receipt.last_layer()},
		                          receipt.attempt(), Position{receipt.position()}});
	}
	return event;
}

OpenOutcome refusedBy(const HttpReply& _reply, const std::string& _head)
{
	wire::Refusal refusal;
	const bool readable = fromJson(_reply.body, refusal);
	OpenOutcome outcome;
	outcome.state = OpenState::Refused;
	outcome.busy = kBusy == _reply.status;
	outcome.target = readable && !refusal.target().empty() ? refusal.target() : _head;
	outcome.detail = refusal.reason();
	return outcome;
}

} // namespace

HttpEngineStream::HttpEngineStream(const Cancellation& _cancellation) : cancellation_(_cancellation)
{
}

HttpEngineStream::~HttpEngineStream() = default;

OpenOutcome HttpEngineStream::open(const StreamOrder& _order)
{
	const ChainStage& head = _order.chain.stages.front();
	client_ = std::make_unique<HttpClient>(parseEndpoint(head.address), &cancellation_);
	HttpCall call;
	call.method = "POST";
	call.target = "/v1/streams";
	call.body = toJson(toWire(_order));
	const HttpOutcome outcome = client_->openStream(call, Duration::fromMillis(SEDGECART_CONFIG_GAP_MAX_MS));
	if (CallState::Replied != outcome.state)
	{
		OpenOutcome lost;
		lost.state = CallState::NotSent == outcome.state ? OpenState::Unreachable : OpenState::Lost;
		lost.target = head.name;
		lost.detail = outcome.detail;
		return lost;
	}
	if (!client_->streaming())
	{
		return refusedBy(outcome.reply, head.name);
	}
	OpenOutcome opened;
	opened.state = OpenState::Opened;
	return opened;
}

EventState::Enum HttpEngineStream::next(Duration _timeout, StreamEvent& _event)
{
	std::string data;
	const StreamRead::Enum read = client_->next(_timeout, data);
	if (StreamRead::Timeout == read)
	{
		return EventState::Silent;
	}
	wire::TokenEvent token;
	if (StreamRead::Data != read || !fromJson(data, token))
	{
		return EventState::Ended;
	}
	_event = fromWire(token);
	return EventState::Event;
}

} // namespace sedgecart

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "engine.h"

#include "query.h"
#include "tokentext.h"

#include <http/httpclient.h>
#include <http/httpexchange.h>
#include <http/httpreply.h>
#include <wire/json.h>

#include <algorithm>
#include <thread>

namespace sedgecart
{

namespace
{

constexpr int kOk = 200;
constexpr int kConflict = 409;
constexpr int kBusy = 429;
constexpr int kUnavailable = 503;
constexpr uint32_t kRatedPace = 1000; // thousandths
constexpr std::chrono::milliseconds kHang{600000};
constexpr std::chrono::milliseconds kLookAgain{2};
constexpr std::chrono::milliseconds kSwapBound{200}; // for another activation to come

std::string refusal(const std::string& _reason, const std::string& _target)
{
	wire::Refusal made;
	made.set_reason(_reason);
	made.set_target(_target);
	return toJson(made);
}

wire::Activation activationOf(const wire::StreamOpen& _open)
{
	wire::Activation made;
	made.set_attempt(_open.attempt());
	made.set_request(_open.request());
	made.set_prompt(_open.prompt());
	made.set_model(_open.model());
	*made.mutable_chain() = _open.chain();
	return made;
}

} // namespace

Engine::Engine(const EngineOptions& _options)
    : options_(_options),
      ledger_(_options.ledger),
      slots_(_options.slots),
      kv_(_options.cachedPrefixes),
      stepper_(_options.batch, _options.stepMicros)
{
}

Engine::~Engine() = default;

void Engine::serve(HttpExchangeI& _exchange)
{
	stepper_.setSlowdown(static_cast<uint32_t>(std::max<uint64_t>(1, switches_.get("slow"))));
	finishLoading();
	const std::string path = _exchange.path();
	if ("/v1/streams" == path)
	{
		openStream(_exchange);
	}
	else if ("/v1/activations" == path)
	{
		onActivation(_exchange);
	}
	else if ("/v1/load" == path)
	{
		reportLoad(_exchange);
	}
	else if ("/v1/cancel" == path)
	{
		onCancel(_exchange);
	}
	else if ("/v1/orders" == path)
	{
		onOrder(_exchange);
	}
	else if ("/v1/kv" == path)
	{
		onKv(_exchange);
	}
	else
	{
		answer(_exchange, 404, "{}");
	}
}

void Engine::openStream(HttpExchangeI& _exchange)
{
	wire::StreamOpen open;
	if (!fromJson(_exchange.body(), open) || 0 == open.chain_size() || !holds(open.model(), open.chain(0)))
	{
		answer(_exchange, kConflict, refusal("not these layers", options_.name));
		return;
	}
	const StreamPtr stream = takeSlot(open.request(), open.attempt(), open.priority());
	if (nullptr == stream)
	{
		answer(_exchange, kBusy, refusal("no slot", options_.name));
		return;
	}
	wire::Activation reserve = activationOf(open);
	reserve.set_reserve(true);
	const wire::ActivationReply reserved = forward(*stream, reserve);
	if (!reserved.failed_target().empty())
	{
		slots_.free(open.request(), open.attempt());
		const char* const reason = reserved.busy() ? "no slot" : "next stage unreachable";
		answer(_exchange, reserved.busy() ? kBusy : kUnavailable, refusal(reason, reserved.failed_target()));
		return;
	}
	HttpReply header;
	header.contentType = "text/event-stream";
	if (_exchange.beginStream(header))
	{
		runStream(_exchange, open);
	}
	wire::Activation release = activationOf(open);
	release.set_release(true);
	forward(*stream, release);
	slots_.free(open.request(), open.attempt());
}

void Engine::runStream(HttpExchangeI& _exchange, const wire::StreamOpen& _open)
{
	wire::Activation activation = activationOf(_open);
	for (uint32_t position = _open.start_position(); position < _open.max_tokens(); ++position)
	{
		awaitRelease(_open, position);
		const StreamPtr stream = slots_.find(_open.request(), _open.attempt());
		activation.set_position(position);
		wire::TokenEvent event;
		event.set_attempt(switches_.take("foreign") ? "someone-else" : _open.attempt());
		event.set_position(position);
		if (nullptr == stream)
		{
			_exchange.abortStream();
			return;
		}
		wire::ActivationReply reply = step(*stream, activation);
		event.set_failed_target(reply.failed_target());
		event.set_text(reply.text());
		event.mutable_receipts()->Swap(reply.mutable_receipts());
		const std::string bytes = "data: " + toJson(event) + "\n\n";
		const bool doubled = switches_.take("double");
		const bool alive = _exchange.write(doubled ? bytes + bytes : bytes);
		if (!alive || !reply.failed_target().empty())
		{
			_exchange.abortStream();
			return;
		}
	}
	if (switches_.take("drop_end"))
	{
		_exchange.endStream();
		return;
	}
	wire::TokenEvent end;
	end.set_attempt(_open.attempt());
	end.set_end(true);
	end.set_count(_open.max_tokens());
	_exchange.write("data: " + toJson(end) + "\n\n");
	_exchange.endStream();
}

/// Holds a stream until the switch lets its token go, or the stream is cancelled.
void Engine::awaitRelease(const wire::StreamOpen& _open, uint32_t _position)
{
	const auto held = [this, _position]
	{
		const uint64_t first = switches_.get("hold_token");
		return 0 != first && first <= uint64_t{_position} + 1;
	};
	while (held() && nullptr != slots_.find(_open.request(), _open.attempt()))
	{
		std::this_thread::sleep_for(kLookAgain);
	}
}

void Engine::onActivation(HttpExchangeI& _exchange)
{
	wire::Activation activation;
	wire::ActivationReply reply;
	const bool readable = fromJson(_exchange.body(), activation);
	const int own = static_cast<int>(activation.stage());
	if (!readable || activation.chain_size() <= own || !holds(activation.model(), activation.chain(own)))
	{
		reply.set_failed_target(options_.name);
		answer(_exchange, kConflict, toJson(reply));
		return;
	}
	const StreamPtr stream = activation.reserve() ? takeSlot(activation.request(), activation.attempt(), 0)
	                                              : slots_.find(activation.request(), activation.attempt());
	if (nullptr == stream)
	{
		reply.set_failed_target(options_.name);
		reply.set_busy(activation.reserve());
		answer(_exchange, kOk, toJson(reply));
		return;
	}
	const bool control = activation.reserve() || activation.release();
	reply = control ? forward(*stream, activation) : step(*stream, activation);
	const bool reserveFailed = activation.reserve() && !reply.failed_target().empty();
	if (activation.release() || reserveFailed)
	{
		slots_.free(activation.request(), activation.attempt());
	}
	if (!control && switches_.take("swap"))
	{
		swapWithAnother(reply);
	}
	answer(_exchange, kOk, toJson(reply));
}

/// Gives this answer to another activation, and gets that one's, as a stage that mixes up two connections would.
void Engine::swapWithAnother(wire::ActivationReply& _reply)
{
	std::unique_lock<std::mutex> lock(mutex_);
	if (nullptr != swapWaiting_)
	{
		swapWaiting_->Swap(&_reply);
		swapWaiting_ = nullptr;
		swapped_.notify_all();
		return;
	}
	swapWaiting_ = &_reply;
	swapped_.wait_for(lock, kSwapBound,
	                  [this, &_reply]
	                  {
		                  return &_reply != swapWaiting_;
	                  });
	swapWaiting_ = &_reply == swapWaiting_ ? nullptr : swapWaiting_;
}

wire::ActivationReply Engine::step(Stream& _stream, const wire::Activation& _activation)
{
	const std::lock_guard<std::mutex> busy(_stream.busy);
	stepper_.run(_stream.priority, kv_.toRead(_activation) * options_.prefillMicros);
	++steps_;
	wire::Activation next = _activation;
	wire::Receipt& receipt = *next.add_receipts();
	receipt.set_target(options_.name);
	receipt.set_first_layer(options_.firstLayer);
	receipt.set_last_layer(options_.lastLayer);
	receipt.set_attempt(_activation.attempt());
	receipt.set_position(_activation.position());
	wire::TokenEvent entry;
	entry.set_attempt(_activation.attempt());
	entry.set_position(_activation.position());
	entry.set_text(_activation.request());
	*entry.add_receipts() = receipt;
	ledger_.write(toJson(entry, true));
	wire::ActivationReply reply = forward(_stream, next);
	if (switches_.take("skip_receipt") && 0 < reply.receipts_size())
	{
		reply.mutable_receipts()->RemoveLast();
	}
	return reply;
}

wire::ActivationReply Engine::forward(Stream& _stream, wire::Activation _activation)
{
	wire::ActivationReply reply;
	reply.set_attempt(_activation.attempt());
	reply.set_position(_activation.position());
	const int next = static_cast<int>(_activation.stage()) + 1;
	if (_activation.chain_size() <= next)
	{
		reply.set_text(tokenText(_activation.prompt(), _activation.position()));
		reply.mutable_receipts()->Swap(_activation.mutable_receipts());
		return reply;
	}
	const wire::ChainStage& stage = _activation.chain(next);
	if (nullptr == _stream.next)
	{
		_stream.next = std::make_unique<HttpClient>(parseEndpoint(stage.address()));
	}
	const auto link = options_.links.find(stage.hall());
	const uint64_t slowLink = stage.hall() == options_.hall ? 0 : switches_.get("slow_link");
	const uint64_t latency = (options_.links.end() == link ? 0 : link->second) * std::max<uint64_t>(1, slowLink);
	std::this_thread::sleep_for(std::chrono::microseconds(2 * latency));
	if (0 != switches_.get("cut"))
	{
		std::this_thread::sleep_for(std::chrono::milliseconds(options_.hopTimeoutMillis));
		reply.set_failed_target(stage.target());
		return reply;
	}
	_activation.set_stage(static_cast<uint32_t>(next));
	HttpCall call;
	call.method = "POST";
	call.target = "/v1/activations";
	call.body = toJson(_activation);
	const HttpOutcome outcome = _stream.next->call(call, Duration::fromMillis(options_.hopTimeoutMillis));
	if (CallState::Replied != outcome.state || !fromJson(outcome.reply.body, reply) || kOk != outcome.reply.status)
	{
		reply.set_failed_target(stage.target());
	}
	return reply;
}

void Engine::finishLoading()
{
	const std::lock_guard<std::mutex> lock(mutex_);
	if (loading_.id().empty() || std::chrono::steady_clock::now() < loadedAt_)
	{
		return;
	}
	options_.model = loading_.model();
	options_.firstLayer = loading_.first_layer();
	options_.lastLayer = loading_.last_layer();
	loading_.Clear();
}

StreamPtr Engine::takeSlot(const std::string& _request, const std::string& _attempt, uint32_t _priority)
{
	return slots_.take(_request, _attempt, _priority, 0 != switches_.get("refuse"));
}

bool Engine::holds(const std::string& _model, const wire::ChainStage& _stage) const
{
	const std::lock_guard<std::mutex> lock(mutex_);
	return _model == options_.model && _stage.first_layer() == options_.firstLayer &&
	       _stage.last_layer() == options_.lastLayer;
}

void Engine::onCancel(HttpExchangeI& _exchange)
{
	wire::CancelStream cancel;
	fromJson(_exchange.body(), cancel);
	slots_.cancel(cancel.attempt());
	answer(_exchange, kOk, "{}");
}

void Engine::onOrder(HttpExchangeI& _exchange)
{
	wire::Order order;
	fromJson(_exchange.body(), order);
	ledger_.write(toJson(order, true));
	const std::lock_guard<std::mutex> lock(mutex_);
	if (options_.checksFences && order.fence() <= lastFence_)
	{
		answer(_exchange, kConflict, refusal("old fence", options_.name));
		return;
	}
	if (switches_.take("forget_order"))
	{
		answer(_exchange, kOk, "{}");
		return;
	}
	lastFence_ = std::max(lastFence_, order.fence());
	// What it held is gone as soon as it loads something else.
	slots_.clear();
	options_.firstLayer = 1;
	options_.lastLayer = 0;
	loading_ = order;
	loadedAt_ = std::chrono::steady_clock::now() + std::chrono::milliseconds(options_.loadMillis);
	if (switches_.take("lose_order_answer"))
	{
		_exchange.beginStream(HttpReply());
		_exchange.abortStream();
		return;
	}
	answer(_exchange, kOk, "{}");
}

/// GET: positions held for a request (export). PUT: takes them over (import).
void Engine::onKv(HttpExchangeI& _exchange)
{
	const std::string request = textIn(_exchange.query(), "request");
	if ("PUT" == _exchange.method())
	{
		kv_.import(request, static_cast<uint32_t>(numberIn(_exchange.query(), "positions", 0)));
	}
	answer(_exchange, kOk, "{\"positions\":" + std::to_string(kv_.positions(request)) + "}");
}

void Engine::reportLoad(HttpExchangeI& _exchange)
{
	if (0 != switches_.get("hang_load"))
	{
		std::this_thread::sleep_for(kHang);
	}
	const std::lock_guard<std::mutex> lock(mutex_);
	const auto now = std::chrono::steady_clock::now();
	if (std::chrono::milliseconds(options_.loadLagMillis) <= now - loadAt_)
	{
		loadAt_ = now;
		lastLoad_.set_target(options_.name);
		lastLoad_.set_active(slots_.used());
		lastLoad_.set_slots(options_.slots);
		lastLoad_.set_step_us(stepper_.meanStepMicros());
		lastLoad_.set_pace_milli(stepper_.slowdown() * kRatedPace);
		lastLoad_.set_steps(steps_);
		lastLoad_.set_model(options_.model);
		lastLoad_.set_first_layer(options_.firstLayer);
		lastLoad_.set_last_layer(options_.lastLayer);
	}
	lastLoad_.set_leaving(0 != switches_.get("leaving"));
	answer(_exchange, kOk, toJson(lastLoad_));
}

} // namespace sedgecart

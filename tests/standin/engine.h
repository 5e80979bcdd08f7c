// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_STANDIN_ENGINE_H_HEADER_GUARD
#define SEDGECART_STANDIN_ENGINE_H_HEADER_GUARD

#include "kvcache.h"
#include "ledger.h"
#include "standin.h"
#include "stepper.h"
#include "streamslots.h"

#include <wire/sedgecart.pb.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace sedgecart
{

class HttpClient;

/// What an emulated engine is.
struct EngineOptions
{
	std::string name;
	std::string hall;
	std::string model;
	uint32_t firstLayer = 0;
	uint32_t lastLayer = 0;
	uint32_t slots = 8;               //!< Streams at once.
	uint32_t batch = 4;               //!< Units of work in one step.
	uint32_t stepMicros = 4000;       //!< Time of a full step.
	uint32_t prefillMicros = 20;      //!< For each prompt token that is not cached.
	uint32_t cachedPrefixes = 64;     //!< Prompts whose prefix stays cached.
	uint32_t loadLagMillis = 200;     //!< Age that a load report may have.
	uint32_t loadMillis = 500;        //!< To load other layers.
	uint32_t hopTimeoutMillis = 1500; //!< For the next stage to answer.
	bool checksFences = true;
	std::string ledger;                    //!< File, empty: none.
	std::map<std::string, uint32_t> links; //!< One-way latency in microseconds to halls.
};

/// Emulates a model engine that holds a range of layers. Streams come in at the head of a chain; activations go from
/// stage to stage over HTTP; every token carries the receipts of the layers that ran.
/// A head's switch hold_token: a stream's tokens from this one on, counted from 1, wait until it changes (0: none
/// does).
class Engine : public Standin
{
public:
	explicit Engine(const EngineOptions& _options);
	~Engine() override;

protected:
	void serve(HttpExchangeI& _exchange) override;

private:
	void openStream(HttpExchangeI& _exchange);
	void runStream(HttpExchangeI& _exchange, const wire::StreamOpen& _open);
	void awaitRelease(const wire::StreamOpen& _open, uint32_t _position);
	void onActivation(HttpExchangeI& _exchange);
	void onOrder(HttpExchangeI& _exchange);
	void onKv(HttpExchangeI& _exchange);
	void onCancel(HttpExchangeI& _exchange);
	void reportLoad(HttpExchangeI& _exchange);

	StreamPtr takeSlot(const std::string& _request, const std::string& _attempt, uint32_t _priority);
	/// Takes up ordered layers once they are loaded.
	void finishLoading();
	bool holds(const std::string& _model, const wire::ChainStage& _stage) const;

	/// Runs this engine's layers for one token, then the rest of the chain.
	wire::ActivationReply step(Stream& _stream, const wire::Activation& _activation);
	wire::ActivationReply forward(Stream& _stream, wire::Activation _activation);
	void swapWithAnother(wire::ActivationReply& _reply);

	EngineOptions options_;
	Ledger ledger_;
	StreamSlots slots_;
	KvCache kv_;
	Stepper stepper_;
	mutable std::mutex mutex_;
	wire::ActivationReply* swapWaiting_ = nullptr; //!< The answer that waits for another to be swapped with.
	std::condition_variable swapped_;
	wire::Order loading_; //!< Layers on their way, none without an id.
	std::chrono::steady_clock::time_point loadedAt_;
	uint64_t lastFence_ = 0;
	wire::LoadReport lastLoad_;
	std::chrono::steady_clock::time_point loadAt_;
	std::atomic<uint64_t> steps_{0};
};

} // namespace sedgecart

#endif // SEDGECART_STANDIN_ENGINE_H_HEADER_GUARD

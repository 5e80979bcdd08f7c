// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "answersink_p.h"

#include "reply_p.h"

#include <http/httpexchange.h>
#include <http/httpreply.h>
#include <wire/json.h>
#include <wire/sedgecart.pb.h>

namespace sedgecart
{

namespace
{

constexpr const char* kEventStreamType = "text/event-stream";
constexpr const char* kFinishReason = "length";

void addChain(wire::CompletionReply& _reply, const Chain& _chain)
{
	for (const ChainStage& stage : _chain.stages)
	{
		_reply.add_chain(stage.name);
	}
}

/// Writes each token immediately as a server-sent event, and "[DONE]" at the end.
class EventStreamSink : public AnswerSinkI
{
public:
	EventStreamSink(HttpExchangeI& _exchange, const AnswerFormat& _format) : exchange_(_exchange), format_(_format)
	{
	}

	bool writeToken(const std::string& _text) override
	{
		wire::CompletionReply reply = makeChunk();
		wire::CompletionChoice& choice = *reply.add_choices();
		if (format_.chat)
		{
			choice.mutable_delta()->set_content(_text);
		}
		else
		{
			choice.set_text(_text);
		}
		return beginStream() && writeEvent(toJson(reply));
	}

	void finish(const Chain& _chain) override
	{
		wire::CompletionReply reply = makeChunk();
		reply.add_choices()->set_finish_reason(kFinishReason);
		addChain(reply, _chain);
		if (beginStream() && writeEvent(toJson(reply)) && writeEvent("[DONE]"))
		{
			exchange_.endStream();
			return;
		}
		exchange_.abortStream();
	}

	void fail(const Error& _error) override
	{
		if (!exchange_.answered())
		{
			exchange_.reply(errorReply(_error, format_.requestId));
			return;
		}
		writeEvent(errorBody(_error, format_.requestId));
		exchange_.abortStream();
	}

private:
	bool beginStream()
	{
		if (exchange_.answered())
		{
			return true;
		}
		HttpReply header;
		header.contentType = kEventStreamType;
		header.headers.push_back({"Sedgecart-Request", format_.requestId});
		return exchange_.beginStream(header);
	}

	bool writeEvent(const std::string& _data)
	{
		return exchange_.write("data: " + _data + "\n\n");
	}

	wire::CompletionReply makeChunk() const
	{
		wire::CompletionReply reply;
		reply.set_id(format_.requestId);
		reply.set_object(format_.chat ? "chat.completion.chunk" : "text_completion");
		reply.set_model(format_.model);
		return reply;
	}

	HttpExchangeI& exchange_;
	AnswerFormat format_;
};

/// Buffers all tokens and writes a single body at the end.
class BufferedSink : public AnswerSinkI
{
public:
	BufferedSink(HttpExchangeI& _exchange, const AnswerFormat& _format) : exchange_(_exchange), format_(_format)
	{
	}

	bool writeToken(const std::string& _text) override
	{
		text_ += _text;
		++tokens_;
		return true;
	}

	void finish(const Chain& _chain) override
	{
		wire::CompletionReply reply;
		reply.set_id(format_.requestId);
		reply.set_object(format_.chat ? "chat.completion" : "text_completion");
		reply.set_model(format_.model);
		wire::CompletionChoice& choice = *reply.add_choices();
		choice.set_finish_reason(kFinishReason);
		if (format_.chat)
		{
			choice.mutable_message()->set_role("assistant");
			choice.mutable_message()->set_content(text_);
		}
		else
		{
			choice.set_text(text_);
		}
		reply.mutable_usage()->set_prompt_tokens(format_.promptTokens);
		reply.mutable_usage()->set_completion_tokens(tokens_);
		reply.mutable_usage()->set_total_tokens(format_.promptTokens + tokens_);
		addChain(reply, _chain);
		HttpReply httpReply;
		httpReply.body = toJson(reply);
		httpReply.headers.push_back({"Sedgecart-Request", format_.requestId});
		httpReply.headers.push_back({"Sedgecart-Chain", chainText(_chain)});
		exchange_.reply(httpReply);
	}

	void fail(const Error& _error) override
	{
		exchange_.reply(errorReply(_error, format_.requestId));
	}

private:
	HttpExchangeI& exchange_;
	AnswerFormat format_;
	std::string text_;
	uint32_t tokens_ = 0;
};

} // namespace

std::unique_ptr<AnswerSinkI> makeAnswerSink(HttpExchangeI& _exchange, const AnswerFormat& _format)
{
	if (_format.stream)
	{
		return std::make_unique<EventStreamSink>(_exchange, _format);
	}
	return std::make_unique<BufferedSink>(_exchange, _format);
}

} // namespace sedgecart

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_NODE_ANSWERSINK_P_H_HEADER_GUARD
#define SEDGECART_NODE_ANSWERSINK_P_H_HEADER_GUARD

#include <base/chain.h>
#include <base/error.h>

#include <cstdint>
#include <memory>
#include <string>

namespace sedgecart
{

class HttpExchangeI;

/// Format of the response to a generation.
struct AnswerFormat
{
	std::string requestId; //!< Request id.
	std::string model;     //!< Route name as given by the caller.
	bool chat = false;
	bool stream = false;
	uint32_t promptTokens = 0;
};

/// Receives a response token by token and writes it to the caller. Not thread-safe.
class AnswerSinkI
{
public:
	virtual ~AnswerSinkI() = default;

	/// Writes or buffers the next token.
	/// @returns false if the caller has disconnected.
	virtual bool writeToken(const std::string& _text) = 0;

	/// Completes the response.
	/// @param _chain chain that served the last tokens.
	virtual void finish(const Chain& _chain) = 0;

	/// Ends the response with an error. A partly written response is aborted, so that it cannot be taken for a complete
	/// one.
	virtual void fail(const Error& _error) = 0;
};

/// @returns a sink that writes the OpenAI response formats: server-sent events or a single JSON body.
std::unique_ptr<AnswerSinkI> makeAnswerSink(HttpExchangeI& _exchange, const AnswerFormat& _format);

} // namespace sedgecart

#endif // SEDGECART_NODE_ANSWERSINK_P_H_HEADER_GUARD

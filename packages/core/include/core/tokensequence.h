// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_CORE_TOKENSEQUENCE_H_HEADER_GUARD
#define SEDGECART_CORE_TOKENSEQUENCE_H_HEADER_GUARD

#include <base/chain.h>
#include <base/streamevent.h>
#include <base/units.h>

#include <cstdint>
#include <string>
#include <vector>

namespace sedgecart
{

/// What to do with an event.
struct EventVerdict
{
	enum Enum
	{
		Deliver,   //!< The next token of the response.
		Finished,  //!< The end of the response; no token is missing.
		Foreign,   //!< Belongs to another attempt: drop and count.
		Repeated,  //!< Delivered before: drop and count.
		Gap,       //!< Tokens are missing before it: the attempt has failed.
		BadLayers, //!< Not every layer ran once, in order, on this chain: the attempt has failed.
		Short,     //!< The end of the response, but tokens are missing: the attempt has failed.

		Count
	};
};

/// @returns the name used in logs and metrics.
const char* nameOf(EventVerdict::Enum _verdict);

/// Checks the events of a response over all its attempts, so that each token is delivered exactly once and in order.
class TokenSequence
{
public:
	/// @param _layers number of layers of the model.
	/// @param _tokens total number of tokens requested.
	TokenSequence(uint32_t _layers, uint32_t _tokens);

	/// Starts a new attempt on a chain; events of earlier attempts are foreign from now on.
	void startAttempt(const std::string& _attempt, const Chain& _chain);

	/// Checks one event and advances the position if its token is to be delivered.
	EventVerdict::Enum check(const StreamEvent& _event);

	/// @returns the position of the next token.
	Position next() const
	{
		return next_;
	}

private:
	bool layersRan(const std::vector<LayerReceipt>& _receipts) const;

	uint32_t layers_;
	uint32_t tokens_;
	Position next_;
	std::string attempt_;
	std::vector<ChainStage> stages_;
};

} // namespace sedgecart

#endif // SEDGECART_CORE_TOKENSEQUENCE_H_HEADER_GUARD

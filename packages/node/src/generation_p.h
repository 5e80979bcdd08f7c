// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_NODE_GENERATION_P_H_HEADER_GUARD
#define SEDGECART_NODE_GENERATION_P_H_HEADER_GUARD

#include "attempt_p.h"
#include "fasterchainfinder_p.h"

#include <base/chain.h>
#include <base/error.h>
#include <base/result.h>
#include <core/dispatcher.h>
#include <core/tokensequence.h>

#include <cstdint>
#include <optional>
#include <string>

namespace sedgecart
{

class AnswerSinkI;
struct Caller;
struct NodeContext;

/// A parsed generation request.
struct GenerationRequest
{
	std::string route;
	std::string prompt;
	uint32_t promptTokens = 0;
	uint32_t maxTokens = 0;
	bool chat = false;
	bool stream = false;
};

/// Serves one generation, failing over to other chains as needed. Delivers each token once and in order, or reports an
/// error. Not thread-safe.
class Generation : private FasterChainFinderI
{
public:
	Generation(const NodeContext& _context, const Caller& _caller, const GenerationRequest& _request,
	           AnswerSinkI& _sink);

	/// Blocks until the generation has ended and the sink has the complete response or an error, or the caller has
	/// disconnected.
	void run();

private:
	std::optional<Chain> findFasterThan(const Chain& _slow, const TokenRateMonitor& _monitor,
	                                    const RemainingStream& _remaining) override;
	/// @returns a chain with its slots reserved: the faster one found by the last attempt, else one from admission.
	Result<Chain> nextChain();
	/// @returns the error of a started stream for which admission gave this error.
	static Error withoutChain(const Error& _error);
	/// Waits with jittered exponential backoff from the third attempt on, so that retries do not overload faulty
	/// targets. The second attempt starts at once.
	void pauseBeforeRetry() const;
	AttemptReport runAttempt(const Chain& _chain);
	std::optional<Error> onAttempt(AttemptReport& _report, const Chain& _chain);
	std::optional<Error> onNotStarted(const AttemptReport& _report);
	void onTooSlow(AttemptReport& _report, const Chain& _chain);
	std::optional<Error> onBroken(const AttemptReport& _report, const Chain& _chain);
	/// @returns the targets of the chain that report a slowdown, all of its targets if none does.
	std::vector<TargetHandle> slowTargets(const Chain& _chain) const;
	void finish(const Chain& _chain);
	void fail(const Error& _error);
	void avoid(const std::vector<TargetHandle>& _suspects);
	Submission submission() const;

	const NodeContext& context_;
	const Caller& caller_;
	const GenerationRequest& request_;
	AnswerSinkI& sink_;
	TokenSequence sequence_;
	std::vector<TargetHandle> avoided_;
	std::vector<TargetHandle> warm_;
	std::optional<Chain> fasterChain_; //!< Reserved chain to continue on.
	Time lastTokenAt_;
	uint32_t attempts_ = 0;
	uint32_t moves_ = 0;
	bool mayHaveRun_ = false;      //!< An attempt may have been executed.
	bool refusedByTarget_ = false; //!< The last attempt was refused by a full target.
	bool ended_ = false;
};

} // namespace sedgecart

#endif // SEDGECART_NODE_GENERATION_P_H_HEADER_GUARD

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_NODE_ATTEMPT_P_H_HEADER_GUARD
#define SEDGECART_NODE_ATTEMPT_P_H_HEADER_GUARD

#include <base/chain.h>
#include <base/units.h>
#include <core/tokenratemonitor.h>
#include <core/tokensequence.h>
#include <target/engine.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace sedgecart
{

class AnswerSinkI;
class FasterChainFinderI;
struct Caller;
struct NodeContext;

/// How one attempt on one chain ended.
struct AttemptEnd
{
	enum Enum
	{
		Finished,
		CallerDisconnected,
		NotStarted, //!< A stage refused the stream or the head was unreachable: nothing was executed.
		Broken,     //!< Failed, possibly after it was executed; the stream can continue on another chain.
		DeadlinePassed,
		CutOff,  //!< By the node's stop, possibly after it was executed.
		TooSlow, //!< A faster chain is reserved; the stream continues on it.

		Count
	};
};

/// How one attempt ended, with the targets that later attempts of the request avoid.
struct AttemptReport
{
	AttemptEnd::Enum end = AttemptEnd::Broken;
	std::vector<TargetHandle> suspects;
	std::string detail;
	bool busy = false;                //!< NotStarted because the target had no free slot, not because of a fault.
	std::optional<Chain> fasterChain; //!< Set for TooSlow: the reserved chain.
};

/// Input and shared state of an attempt. The chain is specific to the attempt; everything else is shared by all
/// attempts of the request.
struct AttemptTask
{
	const Caller& caller;
	const Chain& chain;
	TokenSequence& sequence;
	AnswerSinkI& sink;
	FasterChainFinderI& chainFinder;
	Time& lastTokenAt;  //!< When the last token of any attempt was delivered; 0 if none was.
	uint32_t maxTokens; //!< Tokens requested in total, over all attempts.
	uint32_t promptTokens;
};

/// Runs one attempt of a generation on one chain: opens the stream, forwards the tokens that belong to the response,
/// and identifies the failed stage if the stream breaks. Not thread-safe.
class Attempt
{
public:
	Attempt(const NodeContext& _context, const AttemptTask& _task);

	/// Runs the attempt until it ends.
	/// @param _order all fields except attempt, start and chain, which are set here.
	AttemptReport run(StreamOrder _order);

private:
	AttemptReport relayEvents(EngineStreamI& _stream);
	/// @returns how the attempt ended, nothing while it continues.
	std::optional<AttemptReport> onEvent(const StreamEvent& _event);
	std::optional<AttemptReport> onToken(const StreamEvent& _event);
	AttemptReport onRefused(const OpenOutcome& _outcome);
	AttemptReport onSilence();
	AttemptReport onStreamEnded();
	/// Handles a stage that its predecessor reported as failed, or that refused the stream.
	AttemptReport onStageFailed(AttemptEnd::Enum _end, const std::string& _target);
	/// Probes a stage's target directly.
	/// @returns true if it answers within the probe timeout.
	static bool isResponding(const ChainStage& _stage);
	bool deliver(const StreamEvent& _event);
	/// @returns a reserved chain to continue on if the current one is too slow.
	std::optional<Chain> findFasterChain();
	/// @returns the time without an event after which the stream counts as broken: the setting if there is one, else a
	/// multiple of the longest gap between tokens seen on this chain, or of the gap that the planner expects.
	Duration silenceTimeout() const;
	uint32_t slotsOf(TargetHandle _target) const;
	TargetHandle targetNamed(const std::string& _name) const;
	/// Reports a failure of the target, if valid, to the target board.
	AttemptReport reportFailure(AttemptEnd::Enum _end, TargetHandle _target, const std::string& _detail);

	const NodeContext& context_;
	const Caller& caller_;
	const Chain& chain_;
	TokenSequence& sequence_;
	AnswerSinkI& sink_;
	FasterChainFinderI& chainFinder_;
	Time& lastTokenAt_;
	uint32_t maxTokens_;
	uint32_t promptTokens_;
	TokenRateMonitor rateMonitor_;
	Duration maxGap_;
	uint32_t deliveredTokens_ = 0; //!< Number of tokens delivered by this attempt.
};

} // namespace sedgecart

#endif // SEDGECART_NODE_ATTEMPT_P_H_HEADER_GUARD

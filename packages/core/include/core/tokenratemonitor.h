// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_CORE_TOKENRATEMONITOR_H_HEADER_GUARD
#define SEDGECART_CORE_TOKENRATEMONITOR_H_HEADER_GUARD

#include <base/units.h>

#include <cstdint>

namespace sedgecart
{

struct Chain;

/// The remaining work of a stream.
struct RemainingStream
{
	uint32_t tokens = 0;        //!< Tokens still to be generated.
	uint32_t prefillTokens = 0; //!< Tokens to prefill on a stage without its KV cache: prompt and generated tokens.
	Time deadline;
};

/// Monitors the token rate of one attempt and decides when to search for a faster chain, and whether moving to a found
/// chain pays off. Does no I/O.
class TokenRateMonitor
{
public:
	/// @param _expectedGap time between two tokens that the planner expects for the chain.
	explicit TokenRateMonitor(Duration _expectedGap);

	/// Records the time between two tokens of this attempt.
	void onToken(Duration _gap);

	/// @returns true if the stream is slow enough to search for another chain: it would end after the deadline, or its
	/// gaps are several times longer than expected. After true, returns false for some tokens, so that searches stay
	/// rare.
	bool shouldSearch(const RemainingStream& _remaining, Time _now);

	/// @returns true if continuing on the other chain saves enough time, including the repeated prefill.
	bool isWorthMoving(const Chain& _other, const RemainingStream& _remaining) const;

private:
	Duration meanGap() const;

	Duration expectedGap_;
	Duration sum_;
	uint32_t gaps_ = 0;
	uint32_t nextSearch_;
};

} // namespace sedgecart

#endif // SEDGECART_CORE_TOKENRATEMONITOR_H_HEADER_GUARD

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <core/tokenratemonitor.h>

#include <base/chain.h>
#include <base/config.h>

#include <algorithm>

namespace sedgecart
{

namespace
{

constexpr uint32_t kMinGaps = 2;              // number of gaps for a mean that is acted on
constexpr uint32_t kSearchIntervalGaps = 8;   // gaps between two searches
constexpr int64_t kPrefillTokensPerToken = 8; // tokens prefilled in the time of generating one
constexpr int64_t kMinSpeedup = 2;            // expected speedup of the other chain
constexpr Duration kMinSaved = Duration::fromMillis(250);

} // namespace

TokenRateMonitor::TokenRateMonitor(Duration _expectedGap) : expectedGap_(_expectedGap), nextSearch_(kMinGaps)
{
}

void TokenRateMonitor::onToken(Duration _gap)
{
	sum_ = sum_ + _gap;
	++gaps_;
}

bool TokenRateMonitor::shouldSearch(const RemainingStream& _remaining, Time _now)
{
	if (gaps_ < nextSearch_ || 0 == _remaining.tokens)
	{
		return false;
	}
	const Duration remainingTime{meanGap().micros * _remaining.tokens};
	const bool late = _remaining.deadline < _now + remainingTime;
	const bool slow = expectedGap_.micros * SEDGECART_CONFIG_SLOW_FACTOR < meanGap().micros;
	if (!late && !slow)
	{
		return false;
	}
	nextSearch_ = gaps_ + kSearchIntervalGaps;
	return true;
}

bool TokenRateMonitor::isWorthMoving(const Chain& _other, const RemainingStream& _remaining) const
{
	const int64_t currentMicros = meanGap().micros * _remaining.tokens;
	const int64_t prefillMicros = _other.tokenGap.micros * _remaining.prefillTokens / kPrefillTokensPerToken;
	const int64_t otherMicros = _other.tokenGap.micros * _remaining.tokens + prefillMicros;
	return otherMicros * kMinSpeedup < currentMicros && kMinSaved < Duration{currentMicros - otherMicros};
}

Duration TokenRateMonitor::meanGap() const
{
	return Duration{sum_.micros / std::max(1U, gaps_)};
}

} // namespace sedgecart

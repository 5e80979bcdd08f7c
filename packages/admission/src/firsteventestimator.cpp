// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <admission/firsteventestimator.h>

namespace sedgecart
{

namespace
{

/// Time that does not depend on the prompt: a few steps and network hops.
constexpr Duration kFixedTime = Duration::fromMillis(20);

/// Used if the operator states no prefill rate: a fifth of the shortest usual objective of 500 ms, so that a wait is
/// still possible.
constexpr Duration kDefaultPrefill = Duration::fromMillis(80);

/// Weight of an observation: the mean follows a change within about ten requests.
constexpr double kWeight = 0.125;

/// Observations older than this are not used. While every request is refused there are no new ones, and an old estimate
/// that was too long must not keep it so.
constexpr Duration kMaxAge = Duration::fromMillis(5000);

constexpr double kMicrosPerSecond = 1e6;

} // namespace

void FirstEventEstimator::setPrefillRate(double _tokensPerSecond)
{
	tokensPerSecond_ = _tokensPerSecond;
}

Duration FirstEventEstimator::nominal(uint64_t _promptTokens) const
{
	if (!(0 < tokensPerSecond_))
	{
		return kFixedTime + kDefaultPrefill;
	}
	const double prefill = static_cast<double>(_promptTokens) / tokensPerSecond_ * kMicrosPerSecond;
	return kFixedTime + Duration{static_cast<int64_t>(prefill)};
}

void FirstEventEstimator::onFirstEvent(uint64_t _promptTokens, Duration _taken, Time _now)
{
	const double observed = static_cast<double>(_taken.micros) / static_cast<double>(nominal(_promptTokens).micros);
	const bool isRecent = hasObserved_ && _now < observedAt_ + kMaxAge;
	factor_ = isRecent ? factor_ + kWeight * (observed - factor_) : observed;
	observedAt_ = _now;
	hasObserved_ = true;
}

Duration FirstEventEstimator::estimate(uint64_t _promptTokens, Time _now) const
{
	const bool isRecent = hasObserved_ && _now < observedAt_ + kMaxAge;
	const double micros = static_cast<double>(nominal(_promptTokens).micros) * (isRecent ? factor_ : 1);
	return Duration{static_cast<int64_t>(micros)};
}

} // namespace sedgecart

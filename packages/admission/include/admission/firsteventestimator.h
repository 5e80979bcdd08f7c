// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_ADMISSION_FIRSTEVENTESTIMATOR_H_HEADER_GUARD
#define SEDGECART_ADMISSION_FIRSTEVENTESTIMATOR_H_HEADER_GUARD

#include <base/units.h>

#include <cstdint>

namespace sedgecart
{

/// Estimates the time from sending a stream of one service to its first event: the time to prefill its prompt, as the
/// operator states it, corrected by what this node observed recently. Under overload the prefill queues of the targets
/// lengthen it. Not thread-safe.
class FirstEventEstimator
{
public:
	/// @param _tokensPerSecond of one prefill, as the operator states it; 0: unknown.
	void setPrefillRate(double _tokensPerSecond);

	/// Records that the first event of a stream arrived so long after its send.
	void onFirstEvent(uint64_t _promptTokens, Duration _taken, Time _now);

	/// @returns the expected time to the first event of a stream with such a prompt.
	Duration estimate(uint64_t _promptTokens, Time _now) const;

private:
	Duration nominal(uint64_t _promptTokens) const;

	double tokensPerSecond_ = 0;
	double factor_ = 1; //!< Observed time divided by the nominal one, exponentially weighted mean.
	Time observedAt_;
	bool hasObserved_ = false;
};

} // namespace sedgecart

#endif // SEDGECART_ADMISSION_FIRSTEVENTESTIMATOR_H_HEADER_GUARD

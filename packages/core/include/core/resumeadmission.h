// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_CORE_RESUMEADMISSION_H_HEADER_GUARD
#define SEDGECART_CORE_RESUMEADMISSION_H_HEADER_GUARD

#include <base/units.h>

#include <cstdint>

namespace sedgecart
{

/// Limits how many streams resumed by callers a node sends to targets at once.
///
/// After an outage of all nodes, callers resume every interrupted stream at the same time, and each needs its prompt
/// and the tokens generated so far to be prefilled again. These streams are already late; sent together, they keep
/// targets busy with prefill for a second, which makes every new request behind them late as well. A node that has just
/// started therefore admits only a few of them at a time, more with each prefill that finishes in time and fewer with
/// each that does not, and delays the others in order. A node that has been running for a while delays none until a
/// prefill is late: the streams left by one lost node or hall may still continue in time.
class ResumeAdmission
{
public:
	/// @param _startedAt when the process started.
	explicit ResumeAdmission(Time _startedAt) : limitedSince_(_startedAt)
	{
	}

	/// @returns true if one more resumed stream may be sent.
	bool admits(Time _now) const;

	/// Reports that a resumed stream was sent.
	void onSent()
	{
		++inPrefill_;
	}

	/// Reports that a resumed stream has produced its first event, or has ended without one.
	void onPrefillEnded()
	{
		--inPrefill_;
	}

	/// Adjusts the limit to the time that a resumed stream waited for its first event.
	/// @param _objective maximum pause of a stream; 0 if none is set, in which case nothing counts as late.
	void onFirstEvent(Duration _waited, Duration _objective, Time _now);

	/// Maximum delay of a resumed stream: by requirement, callers abandon a stream that delivers nothing for two
	/// seconds, and the prefill has to fit into that time as well.
	static constexpr Duration kMaxDelay = Duration::fromMillis(1500);

	/// How long the limit applies after a start and after each late prefill: several times as long as it takes to
	/// prefill all streams of a fleet again.
	static constexpr Duration kLimitDuration = Duration::fromMillis(5000);

private:
	Time limitedSince_;      //!< Start of the process or last late prefill.
	uint32_t window_ = 1;    //!< Resumed streams that may be in prefill at once.
	uint32_t inPrefill_ = 0; //!< Resumed streams that were sent and have not produced an event.
};

} // namespace sedgecart

#endif // SEDGECART_CORE_RESUMEADMISSION_H_HEADER_GUARD

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_RELAY_RESUMESLOT_P_H_HEADER_GUARD
#define SEDGECART_RELAY_RESUMESLOT_P_H_HEADER_GUARD

#include <base/clock.h>
#include <core/resumeadmission.h>

namespace sedgecart
{

/// Occupies a slot of the limit on resumed streams, from the admission of one stream until its first event or its end.
/// Loop thread only.
class ResumeSlot
{
public:
	/// @param _objective longest pause that meets the stream's objective; 0: none given.
	ResumeSlot(ResumeAdmission& _resumes, const ClockI& _clock, Duration _objective)
	    : resumes_(_resumes),
	      clock_(_clock),
	      objective_(_objective),
	      sentAt_(_clock.now())
	{
		resumes_.onSent();
	}

	~ResumeSlot()
	{
		if (!isReleased_)
		{
			resumes_.onPrefillEnded();
		}
	}

	ResumeSlot(const ResumeSlot&) = delete;
	ResumeSlot& operator=(const ResumeSlot&) = delete;

	/// Records that an event of the stream arrived; the first one releases the slot.
	void onEvent()
	{
		if (isReleased_)
		{
			return;
		}
		isReleased_ = true;
		const Time now = clock_.now();
		resumes_.onFirstEvent(now - sentAt_, objective_, now);
		resumes_.onPrefillEnded();
	}

private:
	ResumeAdmission& resumes_;
	const ClockI& clock_;
	Duration objective_;
	Time sentAt_;
	bool isReleased_ = false;
};

} // namespace sedgecart

#endif // SEDGECART_RELAY_RESUMESLOT_P_H_HEADER_GUARD

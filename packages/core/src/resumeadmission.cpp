// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <core/resumeadmission.h>

#include <algorithm>

namespace sedgecart
{

bool ResumeAdmission::admits(Time _now) const
{
	return limitedSince_ + kLimitDuration < _now || inPrefill_ < window_;
}

void ResumeAdmission::onFirstEvent(Duration _waited, Duration _objective, Time _now)
{
	const bool late = 0 < _objective.micros && _objective < _waited;
	if (!late)
	{
		++window_;
		return;
	}
	const bool limitExpired = limitedSince_ + kLimitDuration < _now;
	window_ = std::max(1U, (limitExpired ? inPrefill_ : window_) / 2);
	limitedSince_ = _now;
}

} // namespace sedgecart

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "stopstate_p.h"

namespace sedgecart
{

void StopState::begin(Time _lateFrom, Time _lastAnswersAt)
{
	lateFrom_ = _lateFrom;
	lastAnswersAt_ = _lastAnswersAt;
	stopping_ = true;
}

bool StopState::isStopping() const
{
	return stopping_;
}

bool StopState::admits(Time _now, Time _deadline) const
{
	return !stopping_ || _now < lateFrom_ || _deadline < lastAnswersAt_;
}

bool StopState::mustCut(Time _now) const
{
	return stopping_ && !areRequestsCut() && !(_now < lastAnswersAt_);
}

void StopState::cutRequests()
{
	cut_.cancel();
}

bool StopState::areRequestsCut() const
{
	return cut_.isCancelled();
}

} // namespace sedgecart

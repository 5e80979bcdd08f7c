// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "urgencycount_p.h"

#include "relaylog_p.h"
#include "relayplan_p.h"

#include <metrics/metrics.h>

namespace sedgecart
{

namespace
{

/// @param _objective 0: none given.
bool exceeds(Duration _took, Duration _objective)
{
	return 0 < _objective.micros && _objective < _took;
}

} // namespace

void countAnswer(Metrics& _metrics, const RelayPlan& _plan, const AnswerTimes& _times)
{
	if (!_plan.isPrioritized)
	{
		return;
	}
	_metrics.addUrgency(UrgencyCounter::Answers, _plan.urgency);
	const bool isFirstLate = exceeds(_times.firstAt - _plan.arrivedAt, _plan.objective);
	if (isFirstLate || exceeds(_times.longestPause, _plan.pauseObjective))
	{
		_metrics.addUrgency(UrgencyCounter::Late, _plan.urgency);
	}
}

void countRefusal(Metrics& _metrics, const RelayPlan& _plan)
{
	if (_plan.isPrioritized)
	{
		_metrics.addUrgency(UrgencyCounter::Refused, _plan.urgency);
	}
}

} // namespace sedgecart

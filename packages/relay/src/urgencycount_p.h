// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_RELAY_URGENCYCOUNT_P_H_HEADER_GUARD
#define SEDGECART_RELAY_URGENCYCOUNT_P_H_HEADER_GUARD

namespace sedgecart
{

class Metrics;
struct AnswerTimes;
struct RelayPlan;

/// Counts an answer by its urgency, and whether it missed an objective of its route. Only for prioritized services.
void countAnswer(Metrics& _metrics, const RelayPlan& _plan, const AnswerTimes& _times);

/// Counts a refusal by its urgency. Only for prioritized services.
void countRefusal(Metrics& _metrics, const RelayPlan& _plan);

} // namespace sedgecart

#endif // SEDGECART_RELAY_URGENCYCOUNT_P_H_HEADER_GUARD

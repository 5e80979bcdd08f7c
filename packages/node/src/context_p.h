// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_NODE_CONTEXT_P_H_HEADER_GUARD
#define SEDGECART_NODE_CONTEXT_P_H_HEADER_GUARD

#include <base/clock.h>
#include <base/incarnation.h>
#include <core/limiter.h>
#include <core/retrybudget.h>

#include "registry_p.h"
#include "snapshotcell_p.h"
#include <metrics/metrics.h>

#include <atomic>

namespace sedgecart
{

class Admission;
class ClaimLog;
class Control;
class Peers;
class StopState;
struct Settings;

/// References to the objects that the request handlers share. All of them are thread-safe and outlive the handlers.
struct NodeContext
{
	const Settings& settings;
	const ClockI& clock;
	const SnapshotCell& snapshots;
	Incarnation& incarnation;
	Control& control;
	Admission& admission;
	ClaimLog& claims;
	Peers& peers;
	Limiter& limiter;
	RetryBudget& retries;
	Metrics& metrics;
	Registry& registry;
	const StopState& stop;
	std::atomic<bool>& ready; //!< Set once the node has a configuration and reports from its targets.
};

} // namespace sedgecart

#endif // SEDGECART_NODE_CONTEXT_P_H_HEADER_GUARD

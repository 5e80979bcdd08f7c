// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_NODE_PLACER_P_H_HEADER_GUARD
#define SEDGECART_NODE_PLACER_P_H_HEADER_GUARD

#include "configwriter_p.h"

#include <base/seededrandom.h>
#include <base/units.h>
#include <core/placement.h>

#include <atomic>
#include <map>
#include <string>
#include <thread>
#include <vector>

namespace sedgecart
{

struct LayerOrder;
struct NodeContext;

/// Assigns a layer range without holders to another target: appends the placement to the log, and orders the target to
/// load the layers if this node's record won. Any node repeats the order to a target that checks fences, until it holds
/// the layers. A target that does not check fences is ordered only once, by the node that won, whatever the outcome.
class Placer
{
public:
	Placer(const NodeContext& _context, uint64_t _seed);
	~Placer();

	Placer(const Placer&) = delete;
	Placer& operator=(const Placer&) = delete;

private:
	void run();
	void commitPlacement(const Placement& _placement);
	void resendOrders();
	void sendOrder(const LayerOrder& _order, const std::string& _target);

	const NodeContext& context_;
	ConfigWriter writer_;
	PlacementMonitor monitor_;
	SeededRandom random_;
	std::map<uint64_t, Time> resendAt_; //!< Next order by fence, for targets that do not hold their layers.
	std::atomic<bool> stopping_{false};
	std::thread thread_;
};

} // namespace sedgecart

#endif // SEDGECART_NODE_PLACER_P_H_HEADER_GUARD

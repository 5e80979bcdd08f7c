// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_RELAY_RATELEDGER_H_HEADER_GUARD
#define SEDGECART_RELAY_RATELEDGER_H_HEADER_GUARD

#include <base/targetlife.h>
#include <core/rategate.h>

#include <map>
#include <memory>
#include <string>

namespace sedgecart
{

class NodeRoster;
struct FleetTarget;

/// This node's part of the rates of targets that name a limit. Loop thread only.
class RateLedger
{
public:
	/// @param _self name of this node.
	explicit RateLedger(std::string _self) : self_(std::move(_self))
	{
	}

	/// @param _roster null if no node is known.
	/// @returns when this node may send to a target next; RateGate::kNever if others send there.
	Time opensAt(const FleetTarget& _target, const std::shared_ptr<const NodeRoster>& _roster, Time _now);

	/// A request was sent to a target.
	void onSent(const FleetTarget& _target, Time _now);

private:
	/// A target that names a limit.
	struct Row
	{
		RateGate gate;
		RateOrder order;
		std::shared_ptr<const NodeRoster> roster; //!< That the order is by.
	};

	std::string self_;
	std::map<TargetLife, Row> rows_;
};

} // namespace sedgecart

#endif // SEDGECART_RELAY_RATELEDGER_H_HEADER_GUARD

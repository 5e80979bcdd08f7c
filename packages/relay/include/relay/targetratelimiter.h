// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_RELAY_TARGETRATELIMITER_H_HEADER_GUARD
#define SEDGECART_RELAY_TARGETRATELIMITER_H_HEADER_GUARD

#include <base/targetincarnation.h>
#include <core/rategate.h>

#include <map>
#include <memory>
#include <string>

namespace sedgecart
{

class NodeRoster;
struct FleetTarget;

/// Applies this node's share of the rate limits that targets advertise. Loop thread only.
class TargetRateLimiter
{
public:
	/// @param _self name of this node.
	/// @param _start when the process started.
	TargetRateLimiter(std::string _self, Time _start) : self_(std::move(_self)), start_(_start)
	{
	}

	/// @param _roster null if no node is known.
	/// @returns the earliest time at which this node may send to a target, `_now` if it is not limited;
	/// RateGate::kNever if only other nodes may send there.
	Time opensAt(const FleetTarget& _target, const std::shared_ptr<const NodeRoster>& _roster, Time _now);

	/// Records that a request was sent to a target.
	void onSent(const FleetTarget& _target, Time _now);

private:
	/// State of a target that advertises a limit.
	struct Row
	{
		explicit Row(Time _start) : gate(_start)
		{
		}

		RateGate gate;
		SenderOrder order;
		std::shared_ptr<const NodeRoster> roster; //!< Roster that `order` was derived from.
	};

	std::string self_;
	Time start_;
	std::map<TargetIncarnation, Row> rows_;
};

} // namespace sedgecart

#endif // SEDGECART_RELAY_TARGETRATELIMITER_H_HEADER_GUARD

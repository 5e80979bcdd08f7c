// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_CORE_TARGETREACHABILITY_H_HEADER_GUARD
#define SEDGECART_CORE_TARGETREACHABILITY_H_HEADER_GUARD

#include <base/targetincarnation.h>
#include <base/units.h>

#include <cstddef>
#include <map>

namespace sedgecart
{

/// Decides whether this node is cut off from all targets, from the outcomes of its attempts to establish connections.
/// A single target that cannot be reached is at fault itself; if several in succession cannot and none can, the node or
/// its link is. Existing connections are no evidence: they may outlive the ability to establish new ones.
class TargetReachability
{
public:
	/// Number of distinct targets that decide either way; in a smaller fleet all of them.
	static constexpr std::size_t kMinTargets = 3;

	/// How long an attempt counts.
	static constexpr Duration kEvidencePeriod = Duration::fromMillis(3000);

	/// Sets how many targets the fleet has.
	void setFleetSize(std::size_t _targets)
	{
		fleetSize_ = _targets;
	}

	/// A connection to the target was established.
	/// @returns true if the decision has changed.
	bool onConnected(const TargetIncarnation& _target, Time _now);

	/// No connection to the target could be established.
	/// @returns true if the decision has changed.
	bool onUnreachable(const TargetIncarnation& _target, Time _now);

	bool isCutOff() const
	{
		return isCutOff_;
	}

	/// @returns true if the target is one of those that could not be reached.
	bool isUnreachable(const TargetIncarnation& _target) const
	{
		return 0 < unreachable_.count(_target);
	}

private:
	std::size_t needed() const;
	void dropExpired(Time _now);

	std::size_t fleetSize_ = 0;
	std::map<TargetIncarnation, Time> unreachable_; //!< Since the last connection.
	std::map<TargetIncarnation, Time> connected_;   //!< While cut off.
	bool isCutOff_ = false;
};

} // namespace sedgecart

#endif // SEDGECART_CORE_TARGETREACHABILITY_H_HEADER_GUARD

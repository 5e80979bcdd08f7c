// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_CORE_UNREPORTEDLOAD_H_HEADER_GUARD
#define SEDGECART_CORE_UNREPORTEDLOAD_H_HEADER_GUARD

#include <cstdint>

namespace sedgecart
{

/// Estimates the load that the other nodes of a hall have added to targets since their last report, from the load that
/// this node has added itself: similar nodes with similar callers choose similar targets.
///
/// Without the estimate, all nodes of a hall that start at once, after a power failure or at the start of a burst, send
/// their requests to the same target: by the last reports the cheapest target is idle, so that it refuses most of the
/// requests or is busy with their prefill for seconds while others are idle.
class UnreportedLoad
{
public:
	/// @param _peers number of other nodes that choose among the same targets by the same reports.
	explicit UnreportedLoad(uint32_t _peers) : peers_(_peers)
	{
	}

	/// Adds the requests of this node on one target to the estimate.
	/// @param _own requests in progress now.
	/// @param _reported requests in progress at the time of the other nodes' last reports.
	void add(uint32_t _own, uint32_t _reported);

	/// @param _own load of this node on a target now, in requests or tokens.
	/// @param _reported the same at the time of the other nodes' last reports.
	/// @returns the load that all other nodes are estimated to have added to the target since their last reports.
	double estimate(double _own, double _reported) const;

	/// @returns true if the estimate is zero for every target.
	bool isZero() const
	{
		return 0 == peers_ || change_ <= 0;
	}

private:
	/// @returns how much weight this node's own change has as an estimate of the others', from 0 to 1: a change that is
	/// small compared to its random variation has none.
	double weight() const;

	uint32_t peers_;
	double change_ = 0;   //!< Requests of this node in excess of those at the time of the last reports.
	double variance_ = 0; //!< Variance of `change_` by chance alone.
};

} // namespace sedgecart

#endif // SEDGECART_CORE_UNREPORTEDLOAD_H_HEADER_GUARD

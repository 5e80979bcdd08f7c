// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_LOADS_LOADREPORTS_H_HEADER_GUARD
#define SEDGECART_LOADS_LOADREPORTS_H_HEADER_GUARD

#include <base/clock.h>
#include <loads/loadboard.h>

#include <cstdint>
#include <deque>

namespace sedgecart
{

class FleetController;

/// This node's loads, as it reports them, and those of the others, which it learns as totals that contain its own.
/// Control thread only.
class LoadReports
{
public:
	LoadReports(const FleetController& _fleet, const ClockI& _clock) : fleet_(_fleet), clock_(_clock)
	{
	}

	/// @returns what this node has under way.
	LoadTable own() const;

	/// Keeps what was reported, to take it off the totals that contain it.
	/// @param _number of the report.
	void keep(uint64_t _number, const LoadTable& _own);

	/// Takes the totals that a hub answered.
	/// @param _counted number of this node's report that they contain.
	void takeTotals(LoadTable&& _totals, uint64_t _counted);

	/// The other nodes have this under way.
	/// @param _counted what this node had under way by then.
	void setOthers(const LoadTable& _others, const LoadTable& _counted);

private:
	TargetLife lifeOf(const std::string& _instance) const;

	/// A report that was sent and may still be contained in a total.
	struct Sent
	{
		uint64_t number = 0;
		LoadTable loads;
	};

	const FleetController& fleet_;
	const ClockI& clock_;
	std::deque<Sent> sent_;
};

} // namespace sedgecart

#endif // SEDGECART_LOADS_LOADREPORTS_H_HEADER_GUARD

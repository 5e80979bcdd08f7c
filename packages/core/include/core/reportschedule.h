// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_CORE_REPORTSCHEDULE_H_HEADER_GUARD
#define SEDGECART_CORE_REPORTSCHEDULE_H_HEADER_GUARD

#include <base/units.h>

#include <cstddef>

namespace sedgecart
{

/// Decides when a node reports to the hub of its hall. In a hall of few nodes each step carries a report. In a larger
/// one, a node whose loads have not changed reports as rarely as keeps the hub's rate at that of `kFullRateNodes`;
/// loads that changed are reported at the next step. The load pattern: a thousand nodes that have a request each now
/// and then. Pure: the time is passed in.
class ReportSchedule
{
public:
	/// Interval between two steps. A stream takes about two seconds, so that loads change by a tenth until a total has
	/// arrived; updates of the store are delayed by as much.
	static constexpr Duration kStep = Duration::fromMillis(150);

	/// Nodes of a hall that all report with each step: 400 reports per second.
	static constexpr std::size_t kFullRateNodes = 60;

	/// Maximum interval between two reports, well below the time in which a change must be known everywhere.
	static constexpr Duration kMaxPause = Duration::fromMillis(600);

	/// @param _nodes number of nodes of the hall.
	void setHallSize(std::size_t _nodes);

	/// @returns the interval between two reports of a node whose loads do not change.
	Duration pause() const
	{
		return pause_;
	}

	/// @param _changed the loads changed since the last report, or something else is urgent.
	/// @returns true if this step carries a report.
	bool isDue(bool _changed, Time _now) const;

	/// A report is sent.
	void onReport(Time _now)
	{
		reportedAt_ = _now;
	}

private:
	Duration pause_ = kStep;
	Time reportedAt_;
};

} // namespace sedgecart

#endif // SEDGECART_CORE_REPORTSCHEDULE_H_HEADER_GUARD

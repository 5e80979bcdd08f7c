// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_BASE_TARGETINCARNATION_H_HEADER_GUARD
#define SEDGECART_BASE_TARGETINCARNATION_H_HEADER_GUARD

#include <base/instanceid.h>
#include <base/starttime.h>

/// @file
/// Identifies one start of a target, and defines the rule that tells a restart from an outdated report.

namespace sedgecart
{

/// One start of a target process up to its end. Layers, requests, loads and marks belong to an incarnation: the next
/// incarnation of the same instance has none of them.
struct TargetIncarnation
{
	InstanceId instance;
	StartTime startTime;
};

inline bool operator==(const TargetIncarnation& _a, const TargetIncarnation& _b)
{
	return _a.instance == _b.instance && _a.startTime == _b.startTime;
}

inline bool operator!=(const TargetIncarnation& _a, const TargetIncarnation& _b)
{
	return !(_a == _b);
}

/// An order for sorted containers; `compareIncarnations` decides which incarnation is the later one.
inline bool operator<(const TargetIncarnation& _a, const TargetIncarnation& _b)
{
	return _a.instance == _b.instance ? _a.startTime < _b.startTime : _a.instance < _b.instance;
}

/// What is known about when a report on an incarnation was made.
struct ReportTiming
{
	enum Enum
	{
		Later, //!< Certainly later than the known state: a later record of the registry, or the answer to a query that
		       //!< was sent after the known state had been read.
		Unknown, //!< It may have been delayed: reports of peers, answers to earlier queries.

		Count
	};
};

/// How the reported incarnation relates to the known one.
struct IncarnationOrder
{
	enum Enum
	{
		Same,
		Newer,     //!< The known incarnation has ended.
		Older,     //!< The report is outdated and must be ignored.
		Unrelated, //!< The report is about another target.

		Count
	};
};

/// Decides whether a report is about the known incarnation, a later or an earlier one. A report without a start time,
/// or on an incarnation whose start time is not known, is no sign of a restart. Start times only order reports whose
/// own order is not known: they are read from the target's clock, which may have been set back.
IncarnationOrder::Enum compareIncarnations(const TargetIncarnation& _known, const TargetIncarnation& _reported,
                                           ReportTiming::Enum _timing);

/// @returns the incarnation that is current after a report: a later one, or the known one, whose start time the report
/// may be the first to give.
TargetIncarnation latestIncarnation(const TargetIncarnation& _known, const TargetIncarnation& _reported,
                                    ReportTiming::Enum _timing);

} // namespace sedgecart

#endif // SEDGECART_BASE_TARGETINCARNATION_H_HEADER_GUARD

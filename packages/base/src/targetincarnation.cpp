// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <base/targetincarnation.h>

namespace sedgecart
{

IncarnationOrder::Enum compareIncarnations(const TargetIncarnation& _known, const TargetIncarnation& _reported,
                                           ReportTiming::Enum _timing)
{
	if (!(_known.instance == _reported.instance))
	{
		return IncarnationOrder::Unrelated;
	}
	const bool bothKnown = _known.startTime.isKnown() && _reported.startTime.isKnown();
	if (!bothKnown || _known.startTime == _reported.startTime)
	{
		return IncarnationOrder::Same;
	}
	const bool isLater = ReportTiming::Later == _timing || _known.startTime < _reported.startTime;
	return isLater ? IncarnationOrder::Newer : IncarnationOrder::Older;
}

TargetIncarnation latestIncarnation(const TargetIncarnation& _known, const TargetIncarnation& _reported,
                                    ReportTiming::Enum _timing)
{
	const IncarnationOrder::Enum order = compareIncarnations(_known, _reported, _timing);
	const bool addsStartTime = IncarnationOrder::Same == order && !_known.startTime.isKnown();
	return IncarnationOrder::Newer == order || addsStartTime ? _reported : _known;
}

} // namespace sedgecart

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <fleet/targetlog.h>

#include "targetfields_p.h"

namespace sedgecart
{

void TargetLog::onAdded(const RunnerRecord& _record)
{
	if (takeLine(added_))
	{
		logEvent(LogPart::Targets, LogLevel::Info, "Target is added.", targetFields(_record));
	}
}

void TargetLog::onChanged(const RunnerRecord& _record)
{
	if (takeLine(changed_))
	{
		logEvent(LogPart::Targets, LogLevel::Info, "Target changed.", targetFields(_record));
	}
}

void TargetLog::onRemoved(const InstanceId& _target)
{
	if (takeLine(removed_))
	{
		logEvent(LogPart::Targets, LogLevel::Info, "Target left the registry.", {{"target", _target.text}});
	}
}

void TargetLog::onOutdated(const RunnerRecord& _record)
{
	if (takeLine(outdated_))
	{
		logEvent(LogPart::Targets, LogLevel::Info, "Record of a target is older than one before it and is ignored.",
		         targetFields(_record));
	}
}

uint32_t TargetLog::finish()
{
	const uint32_t omitted = added_ + changed_ + removed_ + outdated_;
	if (0 < omitted)
	{
		logEvent(LogPart::Targets, LogLevel::Info, "More targets changed.",
		         {{"added", std::to_string(added_)},
		          {"changed", std::to_string(changed_)},
		          {"left", std::to_string(removed_)},
		          {"outdated", std::to_string(outdated_)}});
	}
	*this = TargetLog{};
	return omitted;
}

/// @param _omitted raised if no line is left.
bool TargetLog::takeLine(uint32_t& _omitted)
{
	const bool isLeft = lines_ < kMaxLines;
	lines_ += isLeft ? 1 : 0;
	_omitted += isLeft ? 0 : 1;
	return isLeft;
}

} // namespace sedgecart

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_FLEET_TARGETLOG_H_HEADER_GUARD
#define SEDGECART_FLEET_TARGETLOG_H_HEADER_GUARD

#include <base/runner.h>

#include <cstdint>

namespace sedgecart
{

/// Logs the changes of targets that one read of their topic brings. Beyond `kMaxLines` it only counts them: when a
/// fleet starts or changes its layout, each of its nodes learns of thousands of changes within seconds.
class TargetLog
{
public:
	/// Maximum number of changes that are logged one by one.
	static constexpr uint32_t kMaxLines = 20;

	void onAdded(const RunnerRecord& _record);
	void onChanged(const RunnerRecord& _record);
	void onRemoved(const InstanceId& _target);

	/// A record was ignored because its target wrote a later one before.
	void onOutdated(const RunnerRecord& _record);

	/// All records of the read have been applied: logs how many changes were not logged one by one.
	/// @returns their number.
	uint32_t finish();

private:
	bool takeLine(uint32_t& _omitted);

	uint32_t lines_ = 0;
	uint32_t added_ = 0; //!< Omitted from the log; so are the others.
	uint32_t changed_ = 0;
	uint32_t removed_ = 0;
	uint32_t outdated_ = 0;
};

} // namespace sedgecart

#endif // SEDGECART_FLEET_TARGETLOG_H_HEADER_GUARD

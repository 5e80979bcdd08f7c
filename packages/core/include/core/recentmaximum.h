// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_CORE_RECENTMAXIMUM_H_HEADER_GUARD
#define SEDGECART_CORE_RECENTMAXIMUM_H_HEADER_GUARD

#include <cstdint>

namespace sedgecart
{

/// The maximum of recent values: of the last complete group and of the group that is being filled.
class RecentMaximum
{
public:
	void add(double _value);

	/// @returns true once a group is complete.
	bool hasEnough() const
	{
		return 0 < groups_;
	}

	double maximum() const;

	/// Values in a group: fewer could all come from the same kind of request.
	static constexpr uint32_t kGroupSize = 128;

private:
	double current_ = 0;
	double last_ = 0;
	uint32_t count_ = 0; //!< Values in the current group.
	uint32_t groups_ = 0;
};

} // namespace sedgecart

#endif // SEDGECART_CORE_RECENTMAXIMUM_H_HEADER_GUARD

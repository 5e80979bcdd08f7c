// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_BASE_INSTANCEID_H_HEADER_GUARD
#define SEDGECART_BASE_INSTANCEID_H_HEADER_GUARD

#include <string>

namespace sedgecart
{

/// Name of a target in the registry. A restarted target may keep it; `TargetIncarnation` tells its starts apart.
struct InstanceId
{
	std::string text;
};

inline bool operator==(const InstanceId& _a, const InstanceId& _b)
{
	return _a.text == _b.text;
}

inline bool operator<(const InstanceId& _a, const InstanceId& _b)
{
	return _a.text < _b.text;
}

} // namespace sedgecart

#endif // SEDGECART_BASE_INSTANCEID_H_HEADER_GUARD

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_BASE_HANDLE_H_HEADER_GUARD
#define SEDGECART_BASE_HANDLE_H_HEADER_GUARD

#include <cstdint>

/// @file
/// Handles: typed indices. Each name gets one handle, which is never reused while the process runs.

namespace sedgecart
{

constexpr uint32_t kInvalidIndex = UINT32_MAX;

#define SEDGECART_HANDLE(_name)                                                                                        \
	struct _name                                                                                                       \
	{                                                                                                                  \
		uint32_t index = kInvalidIndex;                                                                                \
	};                                                                                                                 \
	inline bool isValid(_name _handle)                                                                                 \
	{                                                                                                                  \
		return kInvalidIndex != _handle.index;                                                                         \
	}                                                                                                                  \
	inline bool operator==(_name _a, _name _b)                                                                         \
	{                                                                                                                  \
		return _a.index == _b.index;                                                                                   \
	}

SEDGECART_HANDLE(TargetHandle)
SEDGECART_HANDLE(RouteHandle)
SEDGECART_HANDLE(CustomerHandle)
SEDGECART_HANDLE(HallHandle)

#undef SEDGECART_HANDLE

} // namespace sedgecart

#endif // SEDGECART_BASE_HANDLE_H_HEADER_GUARD

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <base/recordfault.h>

namespace sedgecart
{

namespace
{

constexpr const char* kFaultNames[] = {"none",          "unreadable",      "field_missing", "wrong_type",
                                       "unknown_state", "unknown_service", "absurd_value",  "too_large"};
static_assert(RecordFault::Count == sizeof(kFaultNames) / sizeof(kFaultNames[0]), "every fault needs a name");

constexpr const char* kKindNames[] = {"target",     "desired_state", "node",           "layout",
                                      "log_record", "peer_message",  "blocked_request"};
static_assert(RecordKind::Count == sizeof(kKindNames) / sizeof(kKindNames[0]), "every kind needs a name");

} // namespace

const char* nameOf(RecordFault::Enum _fault)
{
	return kFaultNames[_fault];
}

const char* nameOf(RecordKind::Enum _kind)
{
	return kKindNames[_kind];
}

} // namespace sedgecart

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <base/configchange.h>

namespace sedgecart
{

namespace
{

constexpr const char* kObjectNames[] = {"nothing", "hall", "link", "customer", "route", "target"};
static_assert(ObjectKind::Count == sizeof(kObjectNames) / sizeof(kObjectNames[0]), "every kind needs a name");

constexpr const char* kVerbNames[] = {"put", "remove", "drain", "resume", "release", "take", "move", "assign"};
static_assert(ChangeVerb::Count == sizeof(kVerbNames) / sizeof(kVerbNames[0]), "every verb needs a name");

} // namespace

const char* nameOf(ObjectKind::Enum _kind)
{
	return kObjectNames[_kind];
}

const char* nameOf(ChangeVerb::Enum _verb)
{
	return kVerbNames[_verb];
}

std::string describe(const ConfigChange& _change)
{
	return std::string(nameOf(_change.verb)) + " " + nameOf(_change.kind) + " " + _change.name;
}

} // namespace sedgecart

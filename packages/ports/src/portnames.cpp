// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <ports/keyedlog.h>
#include <ports/runnerorders.h>

namespace sedgecart
{

namespace
{

constexpr const char* kTopicNames[] = {"operator", "targets", "nodes", "layout", "blocked"};
static_assert(KeyedTopic::Count == sizeof(kTopicNames) / sizeof(kTopicNames[0]), "each topic needs its name");

constexpr const char* kStoreNames[] = {"done", "conflict", "gone", "refused", "unknown"};
static_assert(StoreState::Count == sizeof(kStoreNames) / sizeof(kStoreNames[0]), "each state needs its name");

constexpr const char* kOrderNames[] = {"begun", "held", "unfit", "fenced", "invalid", "other_target", "unknown"};
static_assert(LayoutOrderState::Count == sizeof(kOrderNames) / sizeof(kOrderNames[0]), "each state needs its name");

constexpr const char* kRepathNames[] = {"moved", "no_request", "no_part", "refused", "unknown"};
static_assert(RepathState::Count == sizeof(kRepathNames) / sizeof(kRepathNames[0]), "each state needs its name");

} // namespace

const char* nameOf(RepathState::Enum _state)
{
	return kRepathNames[_state];
}

const char* nameOf(KeyedTopic::Enum _topic)
{
	return kTopicNames[_topic];
}

const char* nameOf(StoreState::Enum _state)
{
	return kStoreNames[_state];
}

const char* nameOf(LayoutOrderState::Enum _state)
{
	return kOrderNames[_state];
}

} // namespace sedgecart

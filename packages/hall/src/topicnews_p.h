// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_HALL_TOPICNEWS_P_H_HEADER_GUARD
#define SEDGECART_HALL_TOPICNEWS_P_H_HEADER_GUARD

#include <base/units.h>
#include <hall/halllog.h>
#include <hall/topiccache.h>

#include <cstdint>

namespace sedgecart
{

namespace wire
{
class TopicNews;
} // namespace wire

/// @returns whether this version knows a topic of a message.
bool isKnownTopic(uint32_t _number);

/// Writes what the cache holds into an answer.
void putTopicNews(const TopicCache::Found& _found, Time _now, wire::TopicNews& _news);

/// @returns what an answer says. Records that cannot be read are logged, and count as not known to the hub.
HallLog::News topicNewsOf(const wire::TopicNews& _news);

} // namespace sedgecart

#endif // SEDGECART_HALL_TOPICNEWS_P_H_HEADER_GUARD

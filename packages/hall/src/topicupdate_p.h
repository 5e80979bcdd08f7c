// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_HALL_TOPICUPDATE_P_H_HEADER_GUARD
#define SEDGECART_HALL_TOPICUPDATE_P_H_HEADER_GUARD

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

/// @returns true if this version supports the topic number of a message.
bool isKnownTopic(uint32_t _number);

/// Writes a lookup of the cache into an answer.
/// @param _end one past the last record that the receiver is to consider as read.
void putTopicUpdate(const TopicCache::Lookup& _found, Offset _end, Time _now, wire::TopicNews& _message);

/// @returns the update that an answer carries. Records that cannot be unpacked are logged, and count as unknown to the
/// hub.
HallLog::TopicUpdate topicUpdateOf(const wire::TopicNews& _message);

} // namespace sedgecart

#endif // SEDGECART_HALL_TOPICUPDATE_P_H_HEADER_GUARD

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_ENTRY_TOPICCACHE_P_H_HEADER_GUARD
#define SEDGECART_ENTRY_TOPICCACHE_P_H_HEADER_GUARD

#include <base/units.h>
#include <entry/keyedlog.h>

#include <array>
#include <cstddef>
#include <deque>
#include <mutex>

namespace sedgecart
{

/// The last records of each topic that this node has read, kept for the nodes that read through it. Any thread.
class TopicCache
{
public:
	/// What is at hand from an offset on.
	struct Found
	{
		bool known = false; //!< Every record from there on is at hand, and they are few enough to hand on.
		std::vector<KeyedRecord> records;
		Offset end;    //!< Behind the last record at hand.
		Time provenAt; //!< When the read was sent that found nothing behind the end.
	};

	/// Takes what a read of a topic gave.
	/// @param _from the offset that it asked for.
	/// @param _provenAt when it was sent, less the age of what came.
	void take(KeyedTopic::Enum _topic, Offset _from, const KeyedPage& _page, Time _provenAt);

	/// Forgets a topic, because its records are no more what they were.
	void forget(KeyedTopic::Enum _topic);

	Found find(KeyedTopic::Enum _topic, Offset _from) const;

private:
	struct Row
	{
		bool known = false;
		std::deque<KeyedRecord> records;
		Offset begin; //!< Every record from here to the end is at hand.
		Offset end;
		Time provenAt;
		std::size_t bytes = 0;
	};

	static void append(Row& _row, const KeyedRecord& _record);
	static void trim(Row& _row);

	mutable std::mutex mutex_;
	std::array<Row, KeyedTopic::Count> rows_;
};

} // namespace sedgecart

#endif // SEDGECART_ENTRY_TOPICCACHE_P_H_HEADER_GUARD

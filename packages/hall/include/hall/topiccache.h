// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_HALL_TOPICCACHE_H_HEADER_GUARD
#define SEDGECART_HALL_TOPICCACHE_H_HEADER_GUARD

#include <base/units.h>
#include <ports/keyedlog.h>

#include <array>
#include <cstddef>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace sedgecart
{

/// The last records of each topic that this node has read, and the newest of each key, kept for the nodes that read
/// through it. Any thread.
class TopicCache
{
public:
	/// What is at hand from an offset on, or of the whole topic.
	struct Found
	{
		bool begun = false;       //!< Something of the topic is at hand.
		bool known = false;       //!< Every record asked for is at hand, and they are few enough to hand on.
		bool wholeAtHand = false; //!< Some of them are kept no more, but the newest of each key are.
		std::vector<KeyedRecord> records;
		std::shared_ptr<const std::string> packed; //!< In place of records where these are large; else null.
		Offset end;                                //!< Behind the last record at hand.
		Time provenAt;                             //!< When the read was sent that found nothing behind the end.
	};

	/// Takes what a read of a topic gave.
	/// @param _from the offset that it asked for.
	/// @param _provenAt when it was sent, less the age of what came.
	void take(KeyedTopic::Enum _topic, Offset _from, const KeyedPage& _page, Time _provenAt);

	/// Takes the newest record of each key.
	/// @param _end what comes behind it is not contained.
	/// @param _provenAt when the read was sent that found this end, less the age of what came.
	void takeWhole(KeyedTopic::Enum _topic, const std::vector<KeyedRecord>& _records, Offset _end, Time _provenAt);

	/// Forgets a topic, because its records are no more what they were.
	void forget(KeyedTopic::Enum _topic);

	/// @returns the records from an offset on.
	Found find(KeyedTopic::Enum _topic, Offset _from) const;

	/// @returns the newest record of each key, packed; not known before the topic was read whole.
	Found findWhole(KeyedTopic::Enum _topic) const;

private:
	/// Records that were packed once for many nodes.
	struct Pack
	{
		std::shared_ptr<const std::string> bytes;
		Offset from;
		Offset end;
		Time provenAt;
	};

	struct Row
	{
		bool known = false;
		std::deque<KeyedRecord> records;
		Offset begin; //!< Every record from here to the end is at hand.
		Offset end;
		Time provenAt;
		std::size_t bytes = 0;
		bool whole = false;                        //!< `newest` is the topic's state at the end.
		std::map<std::string, KeyedRecord> newest; //!< By key.
		mutable Pack wholePack;
		mutable Pack newsPack;
	};

	static void append(Row& _row, const KeyedRecord& _record);
	static void takeNewest(Row& _row, const KeyedRecord& _record);
	static void trim(Row& _row);

	mutable std::mutex mutex_;
	std::array<Row, KeyedTopic::Count> rows_;
};

} // namespace sedgecart

#endif // SEDGECART_HALL_TOPICCACHE_H_HEADER_GUARD

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#ifndef SEDGECART_HALL_TOPICCACHE_H_HEADER_GUARD
#define SEDGECART_HALL_TOPICCACHE_H_HEADER_GUARD

#include <base/units.h>
#include <hall/renewalfilter.h>
#include <ports/keyedlog.h>

#include <array>
#include <cstddef>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace sedgecart
{

/// Caches the last records of each topic that this node has read, and the newest of each key, for the nodes that read
/// through it. Any thread.
class TopicCache
{
public:
	/// Cached records from an offset on, or of the whole topic.
	struct Lookup
	{
		bool loaded = false;            //!< The cache holds something of the topic.
		bool known = false;             //!< Every requested record is cached, and they are small enough to forward.
		bool snapshotAvailable = false; //!< Some were evicted, but the newest of each key are cached.
		std::vector<KeyedRecord> records;
		std::shared_ptr<const std::string> packed; //!< Replaces large records; otherwise null.
		Offset end;                                //!< One past the last record that was read.
		Offset recordsEnd; //!< One past the last record in `records` or `packed`; later ones changed nothing.
		Time provenAt;     //!< When the read was sent that found no record from the end on.
	};

	/// Caches every record.
	TopicCache() = default;

	/// Caches the records of targets only if they change something.
	explicit TopicCache(const DocumentParserI& _documents);

	/// Adds the result of a read of a topic.
	/// @param _from the offset that was requested.
	/// @param _provenAt when the read was sent, less the age of the result.
	void addPage(KeyedTopic::Enum _topic, Offset _from, const KeyedPage& _page, Time _provenAt);

	/// Replaces the newest record of each key.
	/// @param _end records from this offset on are not contained.
	/// @param _provenAt when the read was sent that found this end, less the age of the result.
	void setSnapshot(KeyedTopic::Enum _topic, const std::vector<KeyedRecord>& _records, Offset _end, Time _provenAt);

	/// Drops the records of a topic, because they are no longer valid.
	void clear(KeyedTopic::Enum _topic);

	/// @returns the records from an offset on.
	Lookup find(KeyedTopic::Enum _topic, Offset _from) const;

	/// @returns the newest record of each key, packed; unknown until the whole topic has been read.
	Lookup findSnapshot(KeyedTopic::Enum _topic) const;

private:
	/// Records packed once for many nodes.
	struct Pack
	{
		std::shared_ptr<const std::string> bytes;
		Offset from;
		Offset end;
		Time provenAt;
	};

	struct Row
	{
		bool loaded = false;
		std::deque<KeyedRecord> records;
		Offset begin; //!< Every record from here to the end is cached, except for renewals.
		Offset end;
		Time provenAt;
		std::size_t bytes = 0;
		bool hasSnapshot = false;                  //!< `newest` is the topic's state at the end.
		std::map<std::string, KeyedRecord> newest; //!< By key.
		mutable Pack snapshotPack;
		mutable Pack updatePack;
	};

	void reset(KeyedTopic::Enum _topic, Offset _begin);
	void append(KeyedTopic::Enum _topic, const KeyedRecord& _record, bool _forwarded, Time _readAt);
	bool isRedundant(const Row& _row, const KeyedRecord& _record, Time _readAt);
	void clearRenewals(KeyedTopic::Enum _topic);
	static void updateNewest(Row& _row, const KeyedRecord& _record);
	static void trim(Row& _row);

	mutable std::mutex mutex_;
	std::array<Row, KeyedTopic::Count> rows_;
	std::optional<RenewalFilter> renewals_; //!< For the targets' topic; empty: all of its records are cached.
};

} // namespace sedgecart

#endif // SEDGECART_HALL_TOPICCACHE_H_HEADER_GUARD

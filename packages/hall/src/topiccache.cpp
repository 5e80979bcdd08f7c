// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include <hall/topiccache.h>

#include "recordpack_p.h"

#include <algorithm>
#include <string_view>
#include <unordered_set>

namespace sedgecart
{

namespace
{

/// Maximum number of bytes of records retained of a topic. A hundred targets write 20 kB/s, so that this covers some
/// 25 s; a node that is further behind reads the store itself.
constexpr std::size_t kMaxTopicBytes = 512UL * 1024;

/// Records of more bytes are packed, once for all nodes that request them.
constexpr std::size_t kPackThresholdBytes = 8UL * 1024;

/// How long a packed topic is reused: several rounds of queries of all nodes of a hall.
constexpr Duration kPackLifetime = Duration::fromMillis(1000);

/// Maximum number of packed bytes that are sent in one answer: a fifth of a second on a link of 20 Mbit/s. Each node
/// reads anything larger from the store.
constexpr std::size_t kMaxSentBytes = 512UL * 1024;

std::size_t sizeOf(const KeyedRecord& _record)
{
	return sizeof(KeyedRecord) + _record.key.size() + _record.value.size();
}

std::size_t sizeOf(const std::vector<KeyedRecord>& _records)
{
	std::size_t bytes = 0;
	for (const KeyedRecord& record : _records)
	{
		bytes += sizeOf(record);
	}
	return bytes;
}

/// Omits records that a later one of the same key has replaced, because a node that is behind does not need them: the
/// hub's link would otherwise carry every desired state of a quick succession to each node of its hall.
/// @returns the records from an offset on, in order, without the replaced ones.
std::vector<KeyedRecord> newestOfEachKey(const std::deque<KeyedRecord>& _records, Offset _from)
{
	std::vector<KeyedRecord> newest;
	std::unordered_set<std::string_view> keys;
	for (auto record = _records.rbegin(); record != _records.rend() && !(record->offset < _from); ++record)
	{
		if (keys.insert(record->key).second)
		{
			newest.push_back(*record);
		}
	}
	std::reverse(newest.begin(), newest.end());
	return newest;
}

std::shared_ptr<const std::string> packOf(const std::vector<KeyedRecord>& _records)
{
	return std::make_shared<const std::string>(packRecords(_records));
}

} // namespace

TopicCache::TopicCache(const DocumentParserI& _documents) : renewals_(std::in_place, _documents)
{
}

void TopicCache::addPage(KeyedTopic::Enum _topic, Offset _from, const KeyedPage& _page, Time _provenAt)
{
	const std::lock_guard<std::mutex> lock(mutex_);
	Row& row = rows_[_topic];
	if (!row.loaded || row.end < _from)
	{
		reset(_topic, _from);
	}
	for (const KeyedRecord& record : _page.records)
	{
		if (!(record.offset < row.end))
		{
			append(_topic, record, _page.forwarded, _provenAt);
		}
	}
	if (_page.forwarded)
	{
		clearRenewals(_topic);                  // changes passed that the filter has not seen
		row.end = std::max(row.end, _page.end); // the hub omits renewals, also the last ones
	}
	const bool reachesEnd = !(row.end < _page.end);
	if (reachesEnd && row.provenAt < _provenAt)
	{
		row.provenAt = _provenAt;
	}
	trim(row);
}

void TopicCache::setSnapshot(KeyedTopic::Enum _topic, const std::vector<KeyedRecord>& _records, Offset _end,
                             Time _provenAt)
{
	const std::lock_guard<std::mutex> lock(mutex_);
	Row& row = rows_[_topic];
	const bool overlaps = row.loaded && !(_end < row.begin) && !(row.end < _end);
	if (!overlaps)
	{
		reset(_topic, _end);
	}
	row.provenAt = std::max(row.provenAt, _provenAt);
	row.hasSnapshot = true;
	row.newest.clear();
	clearRenewals(_topic);
	for (const KeyedRecord& record : _records)
	{
		updateNewest(row, record);
	}
	for (const KeyedRecord& record : row.records)
	{
		if (!(record.offset < _end))
		{
			updateNewest(row, record);
		}
	}
	row.snapshotPack = Pack{};
}

void TopicCache::clear(KeyedTopic::Enum _topic)
{
	const std::lock_guard<std::mutex> lock(mutex_);
	reset(_topic, Offset{});
	rows_[_topic].loaded = false;
}

TopicCache::Lookup TopicCache::find(KeyedTopic::Enum _topic, Offset _from) const
{
	const std::lock_guard<std::mutex> lock(mutex_);
	const Row& row = rows_[_topic];
	Lookup found;
	found.loaded = row.loaded;
	found.known = row.loaded && !(_from < row.begin);
	found.snapshotAvailable = row.hasSnapshot && !found.known;
	found.end = row.end < _from ? _from : row.end; // a node that is ahead already has every cached record
	found.provenAt = row.provenAt;
	if (found.known)
	{
		found.records = newestOfEachKey(row.records, _from);
	}
	found.recordsEnd = found.records.empty() ? _from : Offset{found.records.back().offset.value + 1};
	if (kPackThresholdBytes < sizeOf(found.records))
	{
		Pack& pack = row.updatePack;
		if (!pack.bytes || !(pack.from == _from) || !(pack.end == found.end))
		{
			pack = Pack{packOf(found.records), _from, found.end, found.provenAt};
		}
		found.packed = pack.bytes;
		found.records.clear();
		found.known = !pack.bytes->empty() && pack.bytes->size() <= kMaxSentBytes;
	}
	return found;
}

TopicCache::Lookup TopicCache::findSnapshot(KeyedTopic::Enum _topic) const
{
	const std::lock_guard<std::mutex> lock(mutex_);
	const Row& row = rows_[_topic];
	Lookup found;
	if (!row.hasSnapshot)
	{
		return found;
	}
	found.loaded = true;
	// Many nodes query at about the same time: the same pack serves them while later records are available as updates.
	Pack& pack = row.snapshotPack;
	const bool usable = pack.bytes && !(pack.end < row.begin) && row.provenAt < pack.provenAt + kPackLifetime;
	if (!usable)
	{
		std::vector<KeyedRecord> records;
		for (const auto& entry : row.newest)
		{
			records.push_back(entry.second);
		}
		pack = Pack{packOf(records), Offset{}, row.end, row.provenAt};
	}
	found.packed = pack.bytes;
	found.end = pack.end;
	found.recordsEnd = pack.end;
	found.provenAt = pack.provenAt;
	found.known = !pack.bytes->empty() && pack.bytes->size() <= kMaxSentBytes;
	return found;
}

/// Drops everything that is cached of a topic; it is complete from an offset on.
void TopicCache::reset(KeyedTopic::Enum _topic, Offset _begin)
{
	Row& row = rows_[_topic];
	row = Row{};
	row.loaded = true;
	row.begin = _begin;
	row.end = _begin;
	clearRenewals(_topic);
}

void TopicCache::append(KeyedTopic::Enum _topic, const KeyedRecord& _record, bool _forwarded, Time _readAt)
{
	Row& row = rows_[_topic];
	row.end = Offset{_record.offset.value + 1};
	const bool isFiltered = KeyedTopic::Runners == _topic && renewals_ && row.hasSnapshot && !_forwarded;
	if (isFiltered && isRedundant(row, _record, _readAt))
	{
		return;
	}
	row.records.push_back(_record);
	row.bytes += sizeOf(_record);
	if (row.hasSnapshot)
	{
		updateNewest(row, _record);
	}
}

/// Only a node that reads the store itself parses the records for this, and each one when its target renews it.
bool TopicCache::isRedundant(const Row& _row, const KeyedRecord& _record, Time _readAt)
{
	const auto newest = _row.newest.find(_record.key);
	if (!renewals_->knows(_record.key) && _row.newest.end() != newest)
	{
		renewals_->isRedundant(newest->second, _readAt);
	}
	return renewals_->isRedundant(_record, _readAt);
}

void TopicCache::clearRenewals(KeyedTopic::Enum _topic)
{
	if (KeyedTopic::Runners == _topic && renewals_)
	{
		renewals_->clear();
	}
}

void TopicCache::updateNewest(Row& _row, const KeyedRecord& _record)
{
	if (_record.removed)
	{
		_row.newest.erase(_record.key);
		return;
	}
	_row.newest[_record.key] = _record;
}

void TopicCache::trim(Row& _row)
{
	while (kMaxTopicBytes < _row.bytes && 1 < _row.records.size())
	{
		_row.bytes -= sizeOf(_row.records.front());
		_row.records.pop_front();
		_row.begin = _row.records.front().offset;
	}
}

} // namespace sedgecart

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

/// Most bytes of records kept of a topic. A hundred targets write 20 kB a second, so that this is some 25 s of them; a
/// node that is further behind reads the store itself.
constexpr std::size_t kMostBytes = 512UL * 1024;

/// Records of more bytes are packed, once for all nodes that ask.
constexpr std::size_t kPackFrom = 8UL * 1024;

/// How long a packed topic is handed on as it is: several rounds of questions of all nodes of a hall.
constexpr Duration kPackKept = Duration::fromMillis(1000);

/// Most bytes that are handed on at once, as they go over the link: a fifth of a second on a link of 20 Mbit/s. What is
/// larger each node reads from the store.
constexpr std::size_t kMostHandedOn = 512UL * 1024;

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

/// Who is behind needs no record that another one has replaced: the hub's link would carry each desired state of a
/// quick succession to each node of its hall.
/// @returns the records from an offset on, in order, without those.
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

void TopicCache::take(KeyedTopic::Enum _topic, Offset _from, const KeyedPage& _page, Time _provenAt)
{
	const std::lock_guard<std::mutex> lock(mutex_);
	Row& row = rows_[_topic];
	if (!row.known || row.end < _from)
	{
		row = Row{};
		row.known = true;
		row.begin = _from;
		row.end = _from;
	}
	for (const KeyedRecord& record : _page.records)
	{
		if (!(record.offset < row.end))
		{
			append(row, record);
		}
	}
	const bool whole = !(row.end < _page.end);
	if (whole && row.provenAt < _provenAt)
	{
		row.provenAt = _provenAt;
	}
	trim(row);
}

void TopicCache::takeWhole(KeyedTopic::Enum _topic, const std::vector<KeyedRecord>& _records, Offset _end,
                           Time _provenAt)
{
	const std::lock_guard<std::mutex> lock(mutex_);
	Row& row = rows_[_topic];
	const bool joins = row.known && !(_end < row.begin) && !(row.end < _end);
	if (!joins)
	{
		row = Row{};
		row.known = true;
		row.begin = _end;
		row.end = _end;
	}
	row.provenAt = std::max(row.provenAt, _provenAt);
	row.whole = true;
	row.newest.clear();
	for (const KeyedRecord& record : _records)
	{
		takeNewest(row, record);
	}
	for (const KeyedRecord& record : row.records)
	{
		if (!(record.offset < _end))
		{
			takeNewest(row, record);
		}
	}
	row.wholePack = Pack{};
}

void TopicCache::forget(KeyedTopic::Enum _topic)
{
	const std::lock_guard<std::mutex> lock(mutex_);
	rows_[_topic] = Row{};
}

TopicCache::Found TopicCache::find(KeyedTopic::Enum _topic, Offset _from) const
{
	const std::lock_guard<std::mutex> lock(mutex_);
	const Row& row = rows_[_topic];
	Found found;
	found.begun = row.known;
	found.known = row.known && !(_from < row.begin);
	found.wholeAtHand = row.whole && !found.known;
	found.end = row.end < _from ? _from : row.end; // who is ahead has all that is at hand
	found.provenAt = row.provenAt;
	if (found.known)
	{
		found.records = newestOfEachKey(row.records, _from);
	}
	if (kPackFrom < sizeOf(found.records))
	{
		Pack& pack = row.newsPack;
		if (!pack.bytes || !(pack.from == _from) || !(pack.end == found.end))
		{
			pack = Pack{packOf(found.records), _from, found.end, found.provenAt};
		}
		found.packed = pack.bytes;
		found.records.clear();
		found.known = !pack.bytes->empty() && pack.bytes->size() <= kMostHandedOn;
	}
	return found;
}

TopicCache::Found TopicCache::findWhole(KeyedTopic::Enum _topic) const
{
	const std::lock_guard<std::mutex> lock(mutex_);
	const Row& row = rows_[_topic];
	Found found;
	if (!row.whole)
	{
		return found;
	}
	found.begun = true;
	// Many nodes ask within a moment: while what came since is at hand as news, the same bytes do for them.
	Pack& pack = row.wholePack;
	const bool usable = pack.bytes && !(pack.end < row.begin) && row.provenAt < pack.provenAt + kPackKept;
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
	found.provenAt = pack.provenAt;
	found.known = !pack.bytes->empty() && pack.bytes->size() <= kMostHandedOn;
	return found;
}

void TopicCache::append(Row& _row, const KeyedRecord& _record)
{
	_row.records.push_back(_record);
	_row.bytes += sizeOf(_record);
	_row.end = Offset{_record.offset.value + 1};
	if (_row.whole)
	{
		takeNewest(_row, _record);
	}
}

void TopicCache::takeNewest(Row& _row, const KeyedRecord& _record)
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
	while (kMostBytes < _row.bytes && 1 < _row.records.size())
	{
		_row.bytes -= sizeOf(_row.records.front());
		_row.records.pop_front();
		_row.begin = _row.records.front().offset;
	}
}

} // namespace sedgecart

// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "topiccache_p.h"

namespace sedgecart
{

namespace
{

/// Most bytes of records kept of a topic. A hundred targets write 20 kB a second, so that this is some 25 s of them; a
/// node that is further behind reads the store itself.
constexpr std::size_t kMostBytes = 512UL * 1024;

/// Most bytes of records that are handed on at once. A hub hands them to some twenty nodes several times a second;
/// more, such as a desired state of thousands of routes, each node reads from the store, which has the bandwidth for
/// it.
constexpr std::size_t kMostHandedOn = 48UL * 1024;

std::size_t sizeOf(const KeyedRecord& _record)
{
	return sizeof(KeyedRecord) + _record.key.size() + _record.value.size();
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
	found.known = row.known && !(_from < row.begin);
	found.end = row.end < _from ? _from : row.end; // who is ahead has all that is at hand
	found.provenAt = row.provenAt;
	std::size_t bytes = 0;
	for (const KeyedRecord& record : row.records)
	{
		if (found.known && !(record.offset < _from))
		{
			found.records.push_back(record);
			bytes += sizeOf(record);
		}
	}
	if (kMostHandedOn < bytes)
	{
		found.known = false;
		found.records.clear();
	}
	return found;
}

void TopicCache::append(Row& _row, const KeyedRecord& _record)
{
	_row.records.push_back(_record);
	_row.bytes += sizeOf(_record);
	_row.end = Offset{_record.offset.value + 1};
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

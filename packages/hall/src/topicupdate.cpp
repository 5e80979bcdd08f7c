// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "topicupdate_p.h"

#include "recordpack_p.h"

#include <logging/logging.h>
#include <wire/sedgecart.pb.h>

#include <algorithm>

namespace sedgecart
{

bool isKnownTopic(uint32_t _number)
{
	return _number < KeyedTopic::Count;
}

void putTopicUpdate(const TopicCache::Lookup& _found, Offset _end, Time _now, wire::TopicNews& _message)
{
	_message.set_known(_found.known);
	_message.set_whole_at_hand(_found.snapshotAvailable);
	_message.set_end(_end.value);
	_message.set_age_us(static_cast<uint64_t>(std::max<int64_t>(0, (_now - _found.provenAt).micros)));
	if (_found.packed)
	{
		_message.set_packed(*_found.packed);
		return;
	}
	for (const KeyedRecord& record : _found.records)
	{
		putRecord(record, *_message.add_records());
	}
}

HallLog::TopicUpdate topicUpdateOf(const wire::TopicNews& _message)
{
	HallLog::TopicUpdate update;
	update.topic = static_cast<KeyedTopic::Enum>(_message.topic());
	update.from = Offset{_message.from()};
	update.snapshot = _message.whole();
	update.known = _message.known();
	update.snapshotAvailable = _message.whole_at_hand();
	update.page.state = StoreState::Done;
	update.page.end = Offset{_message.end()};
	update.page.proofAge = Duration{static_cast<int64_t>(std::min<uint64_t>(INT64_MAX, _message.age_us()))};
	for (const wire::TopicRecord& record : _message.records())
	{
		update.page.records.push_back(recordOf(record));
	}
	if (!_message.packed().empty() && !unpackRecords(_message.packed(), update.page.records))
	{
		logEvent(LogPart::Store, LogLevel::Error, "Records from the hub cannot be unpacked, the store is read instead.",
		         {{"topic", std::to_string(_message.topic())}, {"bytes", std::to_string(_message.packed().size())}});
		update.known = false;
	}
	return update;
}

} // namespace sedgecart

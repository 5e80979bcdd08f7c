// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "topicnews_p.h"

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

void putTopicNews(const TopicCache::Found& _found, Time _now, wire::TopicNews& _news)
{
	_news.set_known(_found.known);
	_news.set_whole_at_hand(_found.wholeAtHand);
	_news.set_end(_found.end.value);
	_news.set_age_us(static_cast<uint64_t>(std::max<int64_t>(0, (_now - _found.provenAt).micros)));
	if (_found.packed)
	{
		_news.set_packed(*_found.packed);
		return;
	}
	for (const KeyedRecord& record : _found.records)
	{
		putRecord(record, *_news.add_records());
	}
}

HallLog::News topicNewsOf(const wire::TopicNews& _news)
{
	HallLog::News news;
	news.topic = static_cast<KeyedTopic::Enum>(_news.topic());
	news.from = Offset{_news.from()};
	news.whole = _news.whole();
	news.known = _news.known();
	news.wholeAtHand = _news.whole_at_hand();
	news.page.state = StoreState::Done;
	news.page.end = Offset{_news.end()};
	news.page.age = Duration{static_cast<int64_t>(std::min<uint64_t>(INT64_MAX, _news.age_us()))};
	for (const wire::TopicRecord& record : _news.records())
	{
		news.page.records.push_back(recordOf(record));
	}
	if (!_news.packed().empty() && !unpackRecords(_news.packed(), news.page.records))
	{
		logEvent(LogPart::Store, LogLevel::Error, "Records that a hub handed on cannot be read, the store is asked.",
		         {{"topic", std::to_string(_news.topic())}, {"bytes", std::to_string(_news.packed().size())}});
		news.known = false;
	}
	return news;
}

} // namespace sedgecart

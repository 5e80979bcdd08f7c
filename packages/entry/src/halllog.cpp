// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "halllog_p.h"

namespace sedgecart
{

namespace
{

/// How old the hub's proof of a topic may be. Its reads of the operator's topic wait 1 s, those of the targets' topic
/// are 0.9 s apart, and a slow store takes 0.2 s; a change must be known within two seconds also when the hub fails.
/// The other topics' reads wait 20 s; while those two are fresh, they are.
constexpr Duration kMostAge[] = {
    Duration::fromMillis(2500),  // Operator
    Duration::fromMillis(1500),  // Runners
    Duration::fromMillis(60000), // Nodes
    Duration::fromMillis(60000), // Layout
};
static_assert(KeyedTopic::Count == sizeof(kMostAge) / sizeof(kMostAge[0]), "each topic needs its bound");

} // namespace

HallLog::HallLog(KeyedLogI& _store, const ClockI& _clock, TopicCache& _cache)
    : store_(_store),
      clock_(_clock),
      cache_(_cache)
{
}

void HallLog::setWatch(StoreWatchI& _watch)
{
	watch_ = &_watch;
}

void HallLog::setAddress(const std::string& _address)
{
	store_.setAddress(_address);
}

void HallLog::newest(KeyedTopic::Enum _topic, const std::string& _afterKey, PageCall _call)
{
	store_.newest(_topic, _afterKey, std::move(_call));
}

void HallLog::append(KeyedTopic::Enum _topic, const std::string& _key, const std::string& _value,
                     std::optional<Offset> _onlyAt, AppendCall _call)
{
	store_.append(_topic, _key, _value, _onlyAt, std::move(_call));
}

void HallLog::read(KeyedTopic::Enum _topic, Offset _from, Duration _wait, PageCall _call)
{
	Waiting read{_from, _wait, std::move(_call), clock_.now()};
	if (Way::Store == way_)
	{
		readStore(_topic, std::move(read));
		return;
	}
	waiting_[_topic] = std::move(read);
	if (Way::Try == way_)
	{
		tryOne();
	}
}

void HallLog::readStore(KeyedTopic::Enum _topic, Waiting&& _read)
{
	const Time sentAt = clock_.now();
	const Offset from = _read.from;
	store_.read(_topic, from, _read.wait,
	            [this, _topic, from, sentAt, call = std::move(_read.call)](KeyedPage&& _page)
	            {
		            trying_ = false;
		            if (StoreState::Done == _page.state)
		            {
			            cache_.take(_topic, from, _page, sentAt);
		            }
		            if (StoreState::Gone == _page.state)
		            {
			            cache_.forget(_topic);
		            }
		            if (nullptr != watch_)
		            {
			            watch_->onStoreRead(StoreState::Done == _page.state || StoreState::Gone == _page.state);
		            }
		            call(std::move(_page));
	            });
}

void HallLog::setWay(Way::Enum _way)
{
	way_ = _way;
	if (Way::Try == way_)
	{
		tryOne();
	}
	for (uint32_t topic = 0; Way::Store == way_ && topic < KeyedTopic::Count; ++topic)
	{
		release(static_cast<KeyedTopic::Enum>(topic));
	}
}

void HallLog::release(KeyedTopic::Enum _topic)
{
	std::optional<Waiting>& slot = waiting_[_topic];
	if (!slot)
	{
		return;
	}
	Waiting read = std::move(*slot);
	slot.reset();
	readStore(_topic, std::move(read));
}

/// The operator's topic first: keys depend on its proof.
void HallLog::tryOne()
{
	for (uint32_t topic = 0; !trying_ && topic < KeyedTopic::Count; ++topic)
	{
		if (waiting_[topic])
		{
			trying_ = true;
			waiting_[topic]->wait = Duration{}; // whether it answers is to be known at once
			release(static_cast<KeyedTopic::Enum>(topic));
		}
	}
}

std::vector<HallLog::Question> HallLog::questions() const
{
	std::vector<Question> questions;
	for (uint32_t topic = 0; topic < KeyedTopic::Count; ++topic)
	{
		if (waiting_[topic])
		{
			questions.push_back(Question{static_cast<KeyedTopic::Enum>(topic), waiting_[topic]->from});
		}
	}
	return questions;
}

bool HallLog::onNews(News&& _news)
{
	std::optional<Waiting>& slot = waiting_[_news.topic];
	if (!slot || !(slot->from == _news.from))
	{
		return true;
	}
	if (!_news.known)
	{
		release(_news.topic); // this node is further behind than the hub keeps
		return true;
	}
	if (kMostAge[_news.topic] < _news.page.age)
	{
		return false;
	}
	const Waiting read = std::move(*slot);
	slot.reset();
	// The hub answered after this read began, so that its proof is no older than this.
	const Time provenAt = Time{read.since.micros - _news.page.age.micros};
	cache_.take(_news.topic, read.from, _news.page, provenAt);
	_news.page.handedOn = true;
	read.call(std::move(_news.page));
	return true;
}

} // namespace sedgecart

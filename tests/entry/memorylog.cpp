// Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0

#include "memorylog.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <memory>

namespace sedgecart
{

namespace
{

constexpr std::chrono::milliseconds kLookAgain{5};

KeyedPage pageFrom(const MemoryStore& _store, KeyedTopic::Enum _topic, Offset _from)
{
	KeyedPage page;
	if (_store.out())
	{
		page.state = StoreState::Refused;
		return page;
	}
	page.state = StoreState::Done;
	const std::vector<KeyedRecord> all = _store.records(_topic);
	page.end = Offset{all.size()};
	for (const KeyedRecord& record : all)
	{
		if (!(record.offset < _from))
		{
			page.records.push_back(record);
		}
	}
	return page;
}

} // namespace

Offset MemoryStore::put(KeyedTopic::Enum _topic, const std::string& _key, const std::string& _value)
{
	const std::lock_guard<std::mutex> lock(mutex_);
	std::vector<KeyedRecord>& records = topics_[_topic];
	const Offset offset{records.size()};
	records.push_back(KeyedRecord{_key, _value, _value.empty(), offset});
	return offset;
}

void MemoryStore::setOut(bool _out)
{
	const std::lock_guard<std::mutex> lock(mutex_);
	out_ = _out;
}

bool MemoryStore::out() const
{
	const std::lock_guard<std::mutex> lock(mutex_);
	return out_;
}

std::vector<KeyedRecord> MemoryStore::records(KeyedTopic::Enum _topic) const
{
	const std::lock_guard<std::mutex> lock(mutex_);
	return topics_[_topic];
}

MemoryLog::MemoryLog(boost::asio::io_context& _loop, MemoryStore& _store) : loop_(_loop), store_(_store)
{
}

void MemoryLog::newest(KeyedTopic::Enum _topic, const std::string&, PageCall _call)
{
	boost::asio::post(loop_,
	                  [this, _topic, _call]
	                  {
		                  _call(pageFrom(store_, _topic, Offset{0}));
	                  });
}

void MemoryLog::read(KeyedTopic::Enum _topic, Offset _from, Duration _wait, PageCall _call)
{
	const auto timer = std::make_shared<boost::asio::steady_timer>(loop_, kLookAgain);
	timer->async_wait(
	    [this, timer, _topic, _from, _wait, _call](const boost::system::error_code&)
	    {
		    KeyedPage page = pageFrom(store_, _topic, _from);
		    const Duration left{_wait.micros - std::chrono::microseconds(kLookAgain).count()};
		    if (StoreState::Done == page.state && page.records.empty() && 0 < left.micros)
		    {
			    read(_topic, _from, left, _call);
			    return;
		    }
		    _call(std::move(page));
	    });
}

void MemoryLog::append(KeyedTopic::Enum _topic, const std::string& _key, const std::string& _value,
                       std::optional<Offset> _onlyAt, AppendCall _call)
{
	boost::asio::post(loop_,
	                  [this, _topic, _key, _value, _onlyAt, _call]
	                  {
		                  KeyedAppend outcome;
		                  outcome.end = Offset{store_.records(_topic).size()};
		                  const bool holds = !_onlyAt || *_onlyAt == outcome.end;
		                  outcome.state = holds ? StoreState::Done : StoreState::Conflict;
		                  if (store_.out())
		                  {
			                  outcome.state = StoreState::Refused;
		                  }
		                  if (StoreState::Done == outcome.state)
		                  {
			                  outcome.offset = store_.put(_topic, _key, _value);
		                  }
		                  _call(outcome);
	                  });
}

} // namespace sedgecart

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

KeyedPage pageFrom(const MemoryStore& _store, const std::string& _address, KeyedTopic::Enum _topic, Offset _from)
{
	KeyedPage page;
	if (_store.out(_address))
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
			page.records.push_back(_store.recordFor(_address, record));
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

void MemoryStore::turnAway(const std::string& _address)
{
	const std::lock_guard<std::mutex> lock(mutex_);
	turnedAway_.insert(_address);
}

void MemoryStore::refuseLoads(const std::string& _address)
{
	const std::lock_guard<std::mutex> lock(mutex_);
	loadsRefused_.insert(_address);
}

bool MemoryStore::refusesLoad(const std::string& _address, KeyedTopic::Enum _topic) const
{
	const std::lock_guard<std::mutex> lock(mutex_);
	return KeyedTopic::Nodes != _topic && 0 < loadsRefused_.count(_address);
}

bool MemoryStore::out(const std::string& _address) const
{
	const std::lock_guard<std::mutex> lock(mutex_);
	return out_ || 0 < turnedAway_.count(_address);
}

void MemoryStore::countRead(const std::string& _address)
{
	const std::lock_guard<std::mutex> lock(mutex_);
	++reads_[_address];
}

uint64_t MemoryStore::reads(const std::string& _address) const
{
	const std::lock_guard<std::mutex> lock(mutex_);
	const auto row = reads_.find(_address);
	return reads_.end() == row ? 0 : row->second;
}

std::vector<KeyedRecord> MemoryStore::records(KeyedTopic::Enum _topic) const
{
	const std::lock_guard<std::mutex> lock(mutex_);
	return topics_[_topic];
}

void MemoryStore::substitute(const std::string& _address, const std::string& _from, const std::string& _to)
{
	const std::lock_guard<std::mutex> lock(mutex_);
	substitutes_[_address][_from] = _to;
}

KeyedRecord MemoryStore::recordFor(const std::string& _address, KeyedRecord _record) const
{
	const std::lock_guard<std::mutex> lock(mutex_);
	const auto row = substitutes_.find(_address);
	if (substitutes_.end() == row)
	{
		return _record;
	}
	for (const auto& substitute : row->second)
	{
		const std::size_t at = _record.value.find(substitute.first);
		if (std::string::npos != at)
		{
			_record.value.replace(at, substitute.first.size(), substitute.second);
		}
	}
	return _record;
}

MemoryLog::MemoryLog(boost::asio::io_context& _loop, MemoryStore& _store, const std::string& _address)
    : loop_(_loop),
      store_(_store),
      address_(_address)
{
}

void MemoryLog::setAddress(const std::string& _address)
{
	address_ = _address;
}

void MemoryLog::readNewest(KeyedTopic::Enum _topic, const std::string&, PageCallback _call)
{
	boost::asio::post(loop_,
	                  [this, _topic, _call]
	                  {
		                  KeyedPage page = pageFrom(store_, address_, _topic, Offset{0});
		                  if (store_.refusesLoad(address_, _topic))
		                  {
			                  page = KeyedPage{};
			                  page.state = StoreState::Refused;
		                  }
		                  _call(std::move(page));
	                  });
}

void MemoryLog::read(KeyedTopic::Enum _topic, Offset _from, Duration _wait, PageCallback _call)
{
	store_.countRead(address_);
	look(_topic, _from, _wait, _call);
}

void MemoryLog::look(KeyedTopic::Enum _topic, Offset _from, Duration _wait, const PageCallback& _call)
{
	const auto timer = std::make_shared<boost::asio::steady_timer>(loop_, kLookAgain);
	timer->async_wait(
	    [this, timer, _topic, _from, _wait, _call](const boost::system::error_code&)
	    {
		    KeyedPage page = pageFrom(store_, address_, _topic, _from);
		    const Duration left{_wait.micros - std::chrono::microseconds(kLookAgain).count()};
		    if (StoreState::Done == page.state && page.records.empty() && 0 < left.micros)
		    {
			    look(_topic, _from, left, _call);
			    return;
		    }
		    _call(std::move(page));
	    });
}

void MemoryLog::append(KeyedTopic::Enum _topic, const std::string& _key, const std::string& _value,
                       std::optional<Offset> _onlyAt, AppendCallback _call)
{
	boost::asio::post(loop_,
	                  [this, _topic, _key, _value, _onlyAt, _call]
	                  {
		                  KeyedAppend outcome;
		                  outcome.end = Offset{store_.records(_topic).size()};
		                  const bool holds = !_onlyAt || *_onlyAt == outcome.end;
		                  outcome.state = holds ? StoreState::Done : StoreState::Conflict;
		                  if (store_.out(address_))
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
